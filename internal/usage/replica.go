package usage

import (
	"context"
	"slices"
	"sync"
	"time"
)

// ReplicaStore holds replicas of peers' batches and flushes those of a peer that has become
// silent. If the peer is alive after all, it finds its cursor advanced and writes nothing
// twice. It is safe for concurrent use.
type ReplicaStore struct {
	options Options

	mu       sync.Mutex
	replicas map[Origin]*replica
}

// replica holds the batches of one origin.
type replica struct {
	mu           sync.Mutex // also held during a flush
	journal      journal
	lastReceived time.Time
}

// NewReplicaStore returns an empty store of replicas.
func NewReplicaStore(o Options) *ReplicaStore {
	return &ReplicaStore{options: o.withDefaults(), replicas: make(map[Origin]*replica)}
}

// Add adds batches of a peer. It does no I/O.
func (c *ReplicaStore) Add(batches []Batch) {
	for _, b := range batches {
		r := c.replicaOf(b.Origin)
		r.mu.Lock()
		r.lastReceived = c.options.Now()
		r.journal.add(b)
		r.journal.dropThrough(b.Flushed)
		r.mu.Unlock()
	}
}

// replicaOf returns the replica of an origin.
func (c *ReplicaStore) replicaOf(o Origin) *replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.replicas[o]
	if r == nil {
		r = &replica{journal: journal{table: c.options.Table, origin: o}}
		c.replicas[o] = r
	}
	return r
}

// Run flushes the batches of silent peers until ctx ends, and then those of all peers.
func (c *ReplicaStore) Run(ctx context.Context) error {
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.flushSilent(ctx, peerSilenceTimeout)
		case <-ctx.Done():
			flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			c.flushSilent(flushCtx, 0)
			return nil
		}
	}
}

// flushSilent flushes the batches of origins that have been silent for at least minSilence.
func (c *ReplicaStore) flushSilent(ctx context.Context, minSilence time.Duration) {
	for _, o := range c.origins() {
		r := c.replicaOf(o)
		r.mu.Lock()
		silent := c.options.Now().Sub(r.lastReceived)
		if silent >= minSilence && len(r.journal.batches) > 0 {
			c.flush(ctx, r)
		}
		expired := silent >= replicaTTL && len(r.journal.batches) == 0
		r.mu.Unlock()
		if expired {
			c.remove(o)
		}
	}
}

func (c *ReplicaStore) flush(ctx context.Context, r *replica) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.journal.load(ctx); err != nil { // the origin may have advanced its cursor
		return
	}
	c.dropExpired(r)
	if err := r.journal.flush(ctx, WindowAt(c.options.Now())); err != nil {
		c.options.Logger.Debug("failed to flush usage of a peer; retrying", "peer", r.journal.origin.Instance, "error", err)
	}
}

// dropExpired drops batches that are so old that their cursor row may have been deleted.
// They may be in the table service already and must not be written twice.
func (c *ReplicaStore) dropExpired(r *replica) {
	if r.journal.cursorVersion != 0 {
		return
	}
	oldest := WindowAt(c.options.Now().Add(sweepInterval - cursorTTL))
	held := len(r.journal.batches)
	r.journal.batches = slices.DeleteFunc(r.journal.batches, func(b Batch) bool { return b.Window < oldest })
	if dropped := held - len(r.journal.batches); dropped > 0 {
		c.options.Logger.Error("replicated usage is too old to flush; dropped", "peer", r.journal.origin.Instance, "batches", dropped)
	}
}

func (c *ReplicaStore) origins() []Origin {
	c.mu.Lock()
	defer c.mu.Unlock()
	origins := make([]Origin, 0, len(c.replicas))
	for o := range c.replicas {
		origins = append(origins, o)
	}
	return origins
}

func (c *ReplicaStore) remove(o Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replicas, o)
}
