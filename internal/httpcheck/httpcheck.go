// Package httpcheck rejects HTTP responses that net/http accepts although they are not valid:
// their status, their fields or the length of their body may not be what the server meant.
package httpcheck

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the status of a final response; see RFC 9110, section 15.
	minStatus = 200
	maxStatus = 599
	// maxReportedBytes bounds the part of a field name that an error shows.
	maxReportedBytes = 40
)

// StatusError reports a status that no final response has.
type StatusError struct{ Status int }

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("invalid response: status %03d is none of a final response", e.Status)
}

// VersionError reports a response of another version of HTTP than was asked for.
type VersionError struct{ Proto string }

// Error implements the error interface.
func (e *VersionError) Error() string {
	return fmt.Sprintf("invalid response: version %q was not asked for", e.Proto)
}

// FieldNameError reports a field name that holds a byte which names must not hold, such as a
// blank. net/http does not interpret such a field, though its server may have meant a length
// or an encoding of the body.
type FieldNameError struct{ Name string }

// Error implements the error interface.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("invalid response: field name %q", e.Name[:min(len(e.Name), maxReportedBytes)])
}

// Response returns a *VersionError, a *StatusError or a *FieldNameError if the head of a final
// response is not valid.
func Response(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1 && !negotiatedHTTP2(r):
		return &VersionError{r.Proto}
	case r.StatusCode < minStatus || r.StatusCode > maxStatus:
		return &StatusError{r.StatusCode}
	}
	return Fields(r.Header)
}

// negotiatedHTTP2 reports whether the response was received over HTTP/2, which is used over
// TLS only.
func negotiatedHTTP2(r *http.Response) bool { return r.ProtoMajor == 2 && r.TLS != nil }

// Fields returns a *FieldNameError if the name of a header or trailer field is not valid.
func Fields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{name}
		}
	}
	return nil
}

// Transport is an http.Transport that returns an error instead of a response that is not
// valid. The body of a response with invalid trailer fields ends with an error. It does not
// check informational responses, which only a hook of httptrace sees.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Response(response); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// chunkedBody is a body in chunks, which trailer fields may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := Fields(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	return n, io.EOF
}
