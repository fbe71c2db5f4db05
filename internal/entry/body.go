package entry

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// lingerTimeout bounds how long the server goes on reading a body after its
// request was answered, so that the caller can still receive the answer.
const lingerTimeout = time.Second

// requestBody is a caller's body that knows whether it was read to its end.
type requestBody struct {
	io.ReadCloser
	control *http.ResponseController
	ended   atomic.Bool
}

var _ dispatch.Interrupter = (*requestBody)(nil)

// newRequestBody returns nil for a request without a body.
func newRequestBody(r *http.Request, control *http.ResponseController) *requestBody {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &requestBody{ReadCloser: r.Body, control: control}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// unread reports whether a part of the body was not read. A nil body has none.
func (b *requestBody) unread() bool { return b != nil && !b.ended.Load() }

// Interrupt implements dispatch.Interrupter.
func (b *requestBody) Interrupt() {
	if b.unread() {
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// leave bounds what the HTTP server still reads of a body that was not read to
// its end. Without it a caller that sends no more would hold the connection.
func (b *requestBody) leave() {
	if b.unread() {
		_ = b.control.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
}

// readBody reads the whole body within the limits.
func (x *exchange) readBody() ([]byte, *result.Error) {
	if x.body == nil {
		return []byte{}, nil
	}
	limits := x.server.o.Limits
	if limits.BodyTimeout > 0 {
		_ = x.w.control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
		defer func() { _ = x.w.control.SetReadDeadline(time.Time{}) }()
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w.ResponseWriter, x.body, limits.BodyBytes))
	if err != nil {
		return nil, x.bodyReadError(err)
	}
	return body, x.refuseKeyInBody(body)
}

// bodyReadError tells a body that is too large or too slow from a caller that left.
func (x *exchange) bodyReadError(err error) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x.gate.Refuse(result.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case isTimeout(err):
		return x.gate.Refuse(result.BodyTimeout, "the body did not arrive within %s", x.server.o.Limits.BodyTimeout)
	default:
		return x.gate.Refuse(result.BadRequest, "the body cannot be read: %v", err)
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// headerBytes is the size of a request's header as HTTP/1.1 sends it, about.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, lines := range r.Header {
		for _, line := range lines {
			n += len(name) + len(line) + len(": \r\n")
		}
	}
	return n
}

// headerTooLarge refuses a header over the limit. The HTTP server's own limit is
// twice as high, because its answer is no numbered result.
func (x *exchange) headerTooLarge() *result.Error {
	limit := x.server.o.Limits.HeaderBytes
	if limit <= 0 || headerBytes(x.r) <= limit {
		return nil
	}
	return x.gate.Refuse(result.HeaderTooLarge, "the headers exceed %d bytes", limit)
}
