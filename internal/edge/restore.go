package edge

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// storeRestored records that the store came back from an older copy of itself.
func (e *Edge) storeRestored(old, now storeepoch.Epoch) {
	e.events.Record(timeline.Event{Kind: timeline.StoreRestored, Detail: fmt.Sprintf("epoch=%d before=%d", now.Number, old.Number)})
}
