package instance

import "github.com/hawthornwick/hawthornwick/internal/timeline"

// Timeline returns the ring buffer of the instance's events.
func (i *Instance) Timeline() *timeline.Ring { return i.ring }
