package instance

import "github.com/hawthornwick/hawthornwick/internal/timeline"

// Timeline returns the ring that keeps the instance's events.
func (i *Instance) Timeline() *timeline.Ring { return i.ring }
