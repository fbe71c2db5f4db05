package httpapi

import (
	"bytes"
	"context"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// checkedBody is a request body that runs the check of its context when the
// transport first reads it, which is after the connection is established. A failed
// check aborts the call before any of the body is sent.
type checkedBody struct {
	ctx  context.Context
	body *bytes.Reader

	mu      sync.Mutex // the transport reads the body in its own goroutine
	checked bool
	err     error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.checked {
		b.checked = true
		b.err = platform.RunWriteCheck(b.ctx)
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.body.Read(p)
}

// failure returns the check's error, or nil if it has not run or has not failed.
func (b *checkedBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
