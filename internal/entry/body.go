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

// bodyDrainTimeout bounds how long the server keeps reading a body after the
// request was answered, so that the caller can still receive the answer.
const bodyDrainTimeout = time.Second

// requestBody is a caller's body that records whether it was read to its end.
type requestBody struct {
	io.ReadCloser
	control   *http.ResponseController
	fullyRead atomic.Bool
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
		b.fullyRead.Store(true)
	}
	return n, err
}

// unread reports whether a part of the body was not read. It is false for a nil body.
func (b *requestBody) unread() bool { return b != nil && !b.fullyRead.Load() }

// Interrupt implements dispatch.Interrupter.
func (b *requestBody) Interrupt() {
	if b.unread() {
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// setDrainDeadline limits the time in which the HTTP server reads the rest of a
// body. Without it, a caller that stops sending would keep the connection open.
func (b *requestBody) setDrainDeadline() {
	if b.unread() {
		_ = b.control.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	}
}

// readBody reads the whole body within the server's size and time limits. It
// refuses a body that contains the caller's key.
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
		return nil, x.refuseUnreadable(err)
	}
	return body, x.refuseKeyInBody(body)
}

// refuseUnreadable maps a read error to a refusal: body too large, body too slow,
// or any other error, such as a disconnected caller.
func (x *exchange) refuseUnreadable(err error) *result.Error {
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

// headerBytes returns the approximate size of a request's header in HTTP/1.1 form.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, lines := range r.Header {
		for _, line := range lines {
			n += len(name) + len(line) + len(": \r\n")
		}
	}
	return n
}

// refuseLargeHeader refuses a header over the limit. The limit of clientconn is 4 KiB
// higher, and its answer carries no result code.
func (x *exchange) refuseLargeHeader() *result.Error {
	limit := x.server.o.Limits.HeaderBytes
	if limit <= 0 || headerBytes(x.r) <= limit {
		return nil
	}
	return x.gate.Refuse(result.HeaderTooLarge, "the headers exceed %d bytes", limit)
}
