package ledger

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	firstForgetInterval = time.Second
	forgetLimit         = 2 * time.Minute
)

// forget removes the record of a claim that was refused or released although
// one of its inserts was not answered. Such an insert may take effect late, so
// the row is looked for again and again, at growing intervals. Nothing was and
// nothing will be dispatched for it.
func (o *Owned) forget() {
	if !o.unclear {
		return
	}
	l := o.ledger
	l.forgetting.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, forgetLimit)
		defer cancel()
		for interval := firstForgetInterval; wait.For(ctx, interval) == nil; interval *= 2 {
			if err := o.remove(ctx); err != nil {
				l.options.Logger.Debug("idempotency record not removed yet", "record", o.record, "error", err)
			}
		}
	})
}
