package gateway

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

const (
	// bodyTimeout bounds the time to read a caller's body.
	bodyTimeout = 10 * time.Second
	// maxPreallocBytes bounds the buffer that is allocated for a declared Content-Length.
	maxPreallocBytes = 4 << 20
)

// readBody buffers the caller's body, so that the request can be retried. Without memory
// for it the request is refused, if its length is declared before any of it is read.
func (x *exchange) readBody() *result.Error {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	if limit := x.table.Limits.BodyBytes; limit > 0 && x.r.ContentLength > limit {
		return newRefusal(result.BodyTooLarge, "the body of %d bytes exceeds %d bytes", x.r.ContentLength, limit)
	}
	x.bodyHold = x.gateway.buffers.Hold(bodyShare, nil)
	_ = x.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readAll(x.limitedBody(), x.r.ContentLength, x.bodyHold)
	_ = x.control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return newRefusal(result.Shed, "%v", err).WithRetryAfter(memoryRetryAfter)
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

// readAll reads r to the end, as long as the holder has room for it. A declared length
// avoids growing the buffer; a negative length means that none was declared.
func readAll(r io.Reader, length int64, holder *bytebudget.Holder) ([]byte, error) {
	if length < 0 || length > maxPreallocBytes {
		return readUnbounded(r, holder)
	}
	if length > uncountedBytes && !holder.Grow(length) {
		return nil, errNoMemory
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// readUnbounded reads a body of unknown or very large length.
func readUnbounded(r io.Reader, holder *bytebudget.Holder) ([]byte, error) {
	read, err := readPieces(r, holder, math.MaxInt64)
	switch {
	case err == nil:
		return nil, errNoMemory
	case !errors.Is(err, io.EOF):
		return nil, err
	}
	return bytes.Join(read, nil), nil
}
