package gateway

import (
	"io"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// unreadBody is the body of an answer. It measures for how long nothing was read before the
// last read, which is how long the end of the answer may have waited to be seen.
type unreadBody struct {
	io.ReadCloser
	returnedAt boottime.Instant // of the last read
	unread     time.Duration
}

// Read implements io.Reader.
func (b *unreadBody) Read(p []byte) (int, error) {
	if !b.returnedAt.IsZero() {
		b.unread = boottime.Now().Sub(b.returnedAt)
	}
	n, err := b.ReadCloser.Read(p)
	b.returnedAt = boottime.Now()
	return n, err
}
