package streamorigin

import (
	"errors"
	"fmt"
)

// NotRecordedError reports that the version of a stream was not recorded, so that the stream must
// not begin.
type NotRecordedError struct {
	Service, Version string
	Reason           string
	Err              error // may be nil
}

// Error implements error.
func (e *NotRecordedError) Error() string {
	text := fmt.Sprintf("version %q of service %q was not recorded for the stream: %s", e.Version, e.Service, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *NotRecordedError) Unwrap() error { return e.Err }

// errRestored reports that the store was restored from an older copy during a read.
var errRestored = errors.New("the store was restored during the read")
