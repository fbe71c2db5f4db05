package usage

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Intervals of a Meter.
const (
	cutInterval      = time.Second      // between batches
	directInterval   = time.Second      // between flushes without a peer
	peerInterval     = 20 * time.Second // between flushes with a peer
	callTimeout      = 2 * time.Second
	drainTimeout     = 10 * time.Second
	seenGeneration   = 1 << 16          // request ids remembered, at least
	maxBatches       = 1 << 12          // unflushed; more are cut rarely
	rareCutInterval  = time.Minute      // between batches beyond maxBatches
	custodySettle    = 30 * time.Second // silence after which a peer flushes
	custodyForgotten = 10 * time.Minute // silence after which a peer forgets an origin
)

// Options configure a Meter and a Custody.
type Options struct {
	// Instance is the name of this instance. Required.
	Instance string
	// Table is the table service. Required.
	Table platform.Table
	// Replicator copies batches to a peer. Nil: every batch is flushed at once.
	Replicator Replicator
	// Recorder takes the usage events. Nil: timeline.Discard.
	Recorder timeline.Recorder
	// Logger takes the logs. Nil: none.
	Logger hclog.Logger
	// Now is the wall clock. Nil: time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Meter counts the usage of one instance. It is safe for concurrent use.
type Meter struct {
	options Options
	origin  Origin

	mu       sync.Mutex
	seen     map[string]bool // request ids of this generation
	seenOld  map[string]bool // and of the one before
	pending  map[string]map[Key]Amount
	sequence uint64
	held     int // unflushed batches

	// The fields below belong to the goroutine of Run.
	journal    journal
	peer       string // holds the batches up to replicated
	replicated uint64
	lastCut    time.Time
	lastFlush  time.Time
}

// NewMeter returns a meter under a new incarnation.
func NewMeter(o Options) *Meter {
	o = o.withDefaults()
	id := uuid.New()
	origin := Origin{Instance: o.Instance, Incarnation: hex.EncodeToString(id[:8])}
	return &Meter{
		options: o,
		origin:  origin,
		seen:    make(map[string]bool),
		pending: make(map[string]map[Key]Amount),
		journal: journal{table: o.Table, origin: origin},
	}
}

// Add counts an answered request once per request id, and reports whether it
// was new. It does no I/O.
func (m *Meter) Add(request, organisation, class, model string, in, out int64) bool {
	window := WindowAt(m.options.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[request] || m.seenOld[request] {
		return false
	}
	m.remember(request)
	sums := m.pending[window]
	if sums == nil {
		sums = make(map[Key]Amount)
		m.pending[window] = sums
	}
	key := Key{Organisation: organisation, Class: class, Model: model}
	sums[key] = sums[key].add(Amount{Requests: 1, Input: in, Output: out})
	m.options.Recorder.Record(timeline.Event{
		Kind: timeline.UsageMetered, Request: request, Organisation: organisation,
		Class: class, Service: model, Count: in + out, Window: window,
	})
	return true
}

// remember keeps a request id for one to two generations.
func (m *Meter) remember(request string) {
	if len(m.seen) >= seenGeneration {
		m.seenOld = m.seen
		m.seen = make(map[string]bool, seenGeneration)
	}
	m.seen[request] = true
}

// Run cuts, copies and flushes batches until ctx ends, then flushes the rest.
func (m *Meter) Run(ctx context.Context) error {
	ticker := time.NewTicker(cutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.step(ctx)
		case <-ctx.Done():
			return m.drain(context.WithoutCancel(ctx))
		}
	}
}

// step cuts a batch, copies it to the peer, and flushes when it is time.
func (m *Meter) step(ctx context.Context) {
	now := m.options.Now()
	if len(m.journal.batches) < maxBatches || now.Sub(m.lastCut) >= rareCutInterval {
		m.cut()
		m.lastCut = now
	}
	interval := peerInterval
	if !m.replicate(ctx) {
		interval = directInterval
	}
	if now.Sub(m.lastFlush) < interval {
		return
	}
	m.lastFlush = now
	if err := m.flush(ctx); err != nil {
		m.options.Logger.Debug("usage was not flushed", "batches", len(m.journal.batches), "error", err)
	}
}

// cut turns the pending usage into batches, one a window.
func (m *Meter) cut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for window, sums := range m.pending {
		m.sequence++
		m.journal.add(Batch{
			Origin: m.origin, Sequence: m.sequence, Window: window, Lines: sortedLines(sums),
		})
	}
	clear(m.pending)
	m.held = len(m.journal.batches)
}

// replicate copies what the peer does not hold yet. It reports false when no
// peer holds everything.
func (m *Meter) replicate(ctx context.Context) bool {
	if m.options.Replicator == nil {
		return false
	}
	fresh := m.after(m.replicated)
	if len(fresh) == 0 {
		return true
	}
	peer, err := m.send(ctx, fresh)
	if err == nil && peer != m.peer && len(fresh) < len(m.journal.batches) {
		peer, err = m.send(ctx, m.journal.batches)
	}
	if err != nil {
		m.peer, m.replicated = "", 0
		m.options.Logger.Debug("usage was not copied to a peer", "error", err)
		return false
	}
	m.peer, m.replicated = peer, m.journal.last()
	return true
}

func (m *Meter) send(ctx context.Context, batches []Batch) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for i := range batches {
		batches[i].Flushed = m.journal.through
	}
	return m.options.Replicator.Replicate(ctx, batches)
}

// after returns the held batches above a sequence.
func (m *Meter) after(sequence uint64) []Batch {
	for i, b := range m.journal.batches {
		if b.Sequence > sequence {
			return m.journal.batches[i:]
		}
	}
	return nil
}

// flush writes the held batches to the table service.
func (m *Meter) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.journal.flush(ctx, WindowAt(m.options.Now()))
	m.mu.Lock()
	m.held = len(m.journal.batches)
	m.mu.Unlock()
	return err
}

// drain flushes the rest in a planned stop.
func (m *Meter) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	m.cut()
	for {
		err := m.flush(ctx)
		if err == nil {
			return nil
		}
		if wait.For(ctx, cutInterval) != nil {
			m.replicate(context.WithoutCancel(ctx))
			return err
		}
	}
}

// Unflushed is the number of batches that are not in the table service yet.
func (m *Meter) Unflushed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}
