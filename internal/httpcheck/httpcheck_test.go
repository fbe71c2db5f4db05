package httpcheck

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// answerOnce returns the response of a server that sends the text and closes the connection.
func answerOnce(t *testing.T, text string) (*http.Response, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}()
	r, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	transport := &Transport{&http.Transport{DisableKeepAlives: true}}
	return transport.RoundTrip(r)
}

// TestInvalidHead guards against responses that are none in the protocol.
func TestInvalidHead(t *testing.T) {
	for name, head := range map[string]string{
		"version 2.0":             "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n",
		"version 0.9":             "HTTP/0.9 200 OK\r\nContent-Length: 4\r\n",
		"status 000":              "HTTP/1.1 000 Nothing\r\n",
		"status 099":              "HTTP/1.1 099 Nothing\r\n",
		"status 600":              "HTTP/1.1 600 Beyond\r\n",
		"status 999":              "HTTP/1.1 999 Beyond\r\n",
		"protocol not asked for":  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n",
		"blank within a name":     "HTTP/1.1 200 OK\r\nX Field: 1\r\n",
		"blank before the colon":  "HTTP/1.1 200 OK\r\nX-Field : 1\r\n",
		"length with a blank":     "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"chunks with a blank":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\n",
		"tab in a name":           "HTTP/1.1 200 OK\r\nX\tField: 1\r\n",
		"zero byte in a name":     "HTTP/1.1 200 OK\r\nX\x00Field: 1\r\n",
		"delete byte in a name":   "HTTP/1.1 200 OK\r\nX\x7fField: 1\r\n",
		"no name":                 "HTTP/1.1 200 OK\r\n: 1\r\n",
		"control byte in a value": "HTTP/1.1 200 OK\r\nX-Field: \x01\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			response, err := answerOnce(t, head+"\r\nbody")
			if err == nil {
				_ = response.Body.Close()
				t.Fatalf("accepted: %v", response)
			}
		})
	}
}

// TestInvalidTrailer guards against a body in chunks that is taken for whole although its
// trailer is not valid.
func TestInvalidTrailer(t *testing.T) {
	for name, trailer := range map[string]string{
		"blank within a name": "X Field: 1\r\n", "blank before the colon": "X-Field : 1\r\n", "control byte": "X\x01Field: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := answerOnce(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n")
			is.NoErr(err)
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
		})
	}
}

func TestValidResponses(t *testing.T) {
	for name, text := range map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"chunks, trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
		"no framing":       "HTTP/1.1 500 Oops\r\nx-lower!#$%&'*+.^_`|~1: v\r\n\r\nbody",
		"status 599":       "HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\nbody",
		"empty value":      "HTTP/1.1 404 Not Found\r\nX-Empty:\r\nContent-Length: 4\r\n\r\nbody",
		"bytes over ASCII": "HTTP/1.1 200 OK\r\nX-Text: \xe9\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := answerOnce(t, text)
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "body")
		})
	}
}

func TestErrorsAreTyped(t *testing.T) {
	is := is.New(t)
	_, err := answerOnce(t, "HTTP/1.1 000 Nothing\r\n\r\n")
	var status *StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, 0)
	_, err = answerOnce(t, "HTTP/1.1 200 OK\r\nX Field: 1\r\n\r\n")
	var field *FieldNameError
	is.True(errors.As(err, &field))
	is.Equal(field.Name, "X Field")
}
