package usage

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Custody holds the batches of peers and flushes those of a peer that fell
// silent. A peer that lives after all finds its cursor moved and writes nothing
// twice. It is safe for concurrent use.
type Custody struct {
	options Options

	mu   sync.Mutex
	held map[Origin]*custodian
}

// custodian holds one origin's batches.
type custodian struct {
	mu      sync.Mutex // held during a flush
	journal journal
	heard   time.Time
}

// NewCustody returns an empty custody.
func NewCustody(o Options) *Custody {
	return &Custody{options: o.withDefaults(), held: make(map[Origin]*custodian)}
}

// Hold takes batches of a peer. It does no I/O.
func (c *Custody) Hold(batches []Batch) {
	for _, b := range batches {
		k := c.of(b.Origin)
		k.mu.Lock()
		k.heard = c.options.Now()
		k.journal.add(b)
		k.journal.drop(b.Flushed)
		k.mu.Unlock()
	}
}

// of returns the custodian of an origin.
func (c *Custody) of(o Origin) *custodian {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.held[o]
	if k == nil {
		k = &custodian{journal: journal{table: c.options.Table, origin: o}}
		c.held[o] = k
	}
	return k
}

// Run flushes the batches of silent peers until ctx ends, and then all of them.
func (c *Custody) Run(ctx context.Context) error {
	ticker := time.NewTicker(cutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.settle(ctx, custodySettle)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			c.settle(last, 0)
			return nil
		}
	}
}

// settle flushes the batches of origins that were silent for a time.
func (c *Custody) settle(ctx context.Context, silence time.Duration) {
	for _, o := range c.origins() {
		k := c.of(o)
		k.mu.Lock()
		silent := c.options.Now().Sub(k.heard)
		if silent >= silence && len(k.journal.batches) > 0 {
			c.flush(ctx, k)
		}
		forget := silent >= custodyForgotten && len(k.journal.batches) == 0
		k.mu.Unlock()
		if forget {
			c.forget(o)
		}
	}
}

func (c *Custody) flush(ctx context.Context, k *custodian) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.journal.read(ctx); err != nil { // the origin may have moved its cursor
		return
	}
	c.dropAncient(k)
	if err := k.journal.flush(ctx, WindowAt(c.options.Now())); err != nil {
		c.options.Logger.Debug("usage of a peer was not flushed", "peer", k.journal.origin.Instance, "error", err)
	}
}

// dropAncient drops copies that are so old that their cursor may have been
// deleted, since they may be in the table service already.
func (c *Custody) dropAncient(k *custodian) {
	if k.journal.cursor != 0 {
		return
	}
	oldest := WindowAt(c.options.Now().Add(sweepInterval - cursorLifetime))
	held := len(k.journal.batches)
	k.journal.batches = slices.DeleteFunc(k.journal.batches, func(b Batch) bool { return b.Window < oldest })
	if dropped := held - len(k.journal.batches); dropped > 0 {
		c.options.Logger.Error("copies of usage are too old to flush", "peer", k.journal.origin.Instance, "batches", dropped)
	}
}

func (c *Custody) origins() []Origin {
	c.mu.Lock()
	defer c.mu.Unlock()
	origins := make([]Origin, 0, len(c.held))
	for o := range c.held {
		origins = append(origins, o)
	}
	return origins
}

func (c *Custody) forget(o Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, o)
}
