package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// readBody reads the whole body within the limits.
func (x *exchange) readBody() ([]byte, *result.Error) {
	limits := x.server.o.Limits
	if limits.BodyTimeout > 0 {
		_ = x.w.control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
		defer func() { _ = x.w.control.SetReadDeadline(time.Time{}) }()
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w.ResponseWriter, x.r.Body, limits.BodyBytes))
	if err != nil {
		return nil, x.bodyReadError(err)
	}
	return body, nil
}
