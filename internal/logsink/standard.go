package logsink

import (
	"bytes"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// standardLineBytes bounds a line of the standard logger.
	standardLineBytes = 200
	// standardPerSecond limits the lines of the standard logger; further ones are dropped.
	standardPerSecond = 10
)

// StandardFilter is a writer for the output of the standard logger. Libraries write to it,
// and some quote what a peer has sent: net/http's Transport logs the start of responses that
// no request asked for, which may contain a caller's text. A line therefore ends at its first
// quotation mark or line end and after 200 bytes, and at most ten lines a second pass. It is
// safe for concurrent use.
type StandardFilter struct {
	next  io.Writer
	limit *rate.Limiter

	mu sync.Mutex
}

// NewStandardFilter returns a filter in front of next. Use it with log.SetOutput.
func NewStandardFilter(next io.Writer) *StandardFilter {
	return &StandardFilter{next: next, limit: rate.NewLimiter(standardPerSecond, standardPerSecond)}
}

// Write implements io.Writer for one log entry. It reports the whole entry as written, also
// if it was shortened or dropped.
func (f *StandardFilter) Write(entry []byte) (int, error) {
	if !f.limit.AllowN(time.Now(), 1) {
		return len(entry), nil
	}
	line := entry[:min(len(entry), standardLineBytes)]
	if end := bytes.IndexAny(line, "\"`'\n\r"); end >= 0 {
		line = line[:end]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.next.Write(append(bytes.Clone(line), '\n')); err != nil {
		return 0, err
	}
	return len(entry), nil
}
