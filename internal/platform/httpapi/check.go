package httpapi

import (
	"bytes"
	"context"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// checkedBody runs the check of its context when the transport first reads the
// body, which is after the connection is up. A failed check breaks the call off
// before any of the body is sent.
type checkedBody struct {
	ctx  context.Context
	body *bytes.Reader

	mu      sync.Mutex // the transport reads in a goroutine of its own
	checked bool
	refused error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.checked {
		b.checked = true
		b.refused = platform.RunCheck(b.ctx)
	}
	if b.refused != nil {
		return 0, b.refused
	}
	return b.body.Read(p)
}

// failure is the check's error, nil while it has not failed.
func (b *checkedBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}
