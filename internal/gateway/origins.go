package gateway

import (
	"context"
	"fmt"
	"time"
)

// Origins knows which version of a service's software began a stream, over all instances and
// their restarts. Implementations must be safe for concurrent use.
type Origins interface {
	// ForRoute returns the Origins for the requests of the route with a pattern, whose services
	// may change.
	ForRoute(pattern string) Origins
	// Track returns the record of a caller's attempt that may bring the first event of a stream.
	Track(attempt, service string) OriginRecord
	// Find returns the version that began the stream whose first event the caller's attempt
	// brought. attempt is empty if the caller did not name it. The error is an
	// *OriginUnknownError, or the cause for which ctx ended.
	Find(ctx context.Context, attempt, service string) (version string, err error)
}

// OriginRecord records the version that begins one stream. It is used by one goroutine at a
// time.
type OriginRecord interface {
	// Sending notes that the request is about to be sent to a server of a version, and starts
	// to record it where that is needed. It does not block.
	Sending(version string)
	// Confirm returns nil once every instance can find the version of the last Sending. It must
	// be called before the first event is relayed.
	Confirm(ctx context.Context) error
	// Lost notes, after Confirm, that it is not certain any more which version began the stream.
	// It does not block.
	Lost()
	// Ended releases what the record holds. Nothing may be called after it.
	Ended()
}

// OriginUnknownError reports that the version that began a stream is not known.
type OriginUnknownError struct {
	// Reason says why, for logs and for the caller.
	Reason string
	// RetryAfter is the time after which it may be known. Zero means never.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OriginUnknownError) Error() string {
	return fmt.Sprintf("the software version that began the stream is not known: %s", e.Reason)
}
