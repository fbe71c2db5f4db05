package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

const (
	// bodyTimeout bounds the time to read a caller's body.
	bodyTimeout = 10 * time.Second
	// maxPreallocBytes bounds the buffer allocated for a declared Content-Length.
	maxPreallocBytes = 1 << 20
)

// readBody buffers the caller's body, so that the request can be retried.
func (x *exchange) readBody() *result.Error {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	_ = x.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readAll(x.limitedBody(), x.r.ContentLength)
	_ = x.control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newRefusal(result.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(result.BodyTimeout, "the body did not arrive within %v", bodyTimeout)
	case err != nil:
		return newRefusal(result.CallerGone, "the body ended early: %v", err)
	}
	x.body = body
	return nil
}

func (x *exchange) limitedBody() io.Reader {
	if limit := x.table.Limits.BodyBytes; limit > 0 {
		return http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	return x.r.Body
}

// readAll reads r to the end. A declared length avoids growing the buffer; a
// negative length means that none was declared.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPreallocBytes {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}
