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

// Intervals and limits of the meter and the replicas.
const (
	batchInterval           = time.Second      // between batches
	directFlushInterval     = time.Second      // between flushes without a peer
	replicatedFlushInterval = 20 * time.Second // between flushes with a peer
	callTimeout             = 2 * time.Second
	drainTimeout            = 10 * time.Second
	seenGenerationSize      = 1 << 16          // minimum number of request ids remembered
	maxBatches              = 1 << 12          // unflushed batches, beyond which new ones are less frequent
	overflowBatchInterval   = time.Minute      // between batches beyond maxBatches
	peerSilenceTimeout      = 30 * time.Second // silence of a peer after which its batches are flushed
	replicaTTL              = 10 * time.Minute // silence of a peer after which its empty replica is removed
)

// Options configure the types of this package.
type Options struct {
	// Instance is the name of this instance. Required.
	Instance string
	// Table is the table service. Required.
	Table platform.Table
	// Replicator copies batches to a peer. If nil, batches are not replicated but flushed
	// directly.
	Replicator Replicator
	// Recorder receives the usage events. If nil, timeline.Discard is used.
	Recorder timeline.Recorder
	// Logger receives log messages. If nil, nothing is logged.
	Logger hclog.Logger
	// Now returns the wall-clock time. If nil, time.Now is used.
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

// Meter counts the usage of one instance. Add and Unflushed are safe for concurrent use.
type Meter struct {
	options Options
	origin  Origin

	mu           sync.Mutex
	seen         map[string]bool // request ids of the current generation
	seenPrevious map[string]bool // request ids of the previous generation
	pending      map[string]map[Key]Amount
	sequence     uint64
	unflushed    int // number of unflushed batches

	// The fields below are used only by the goroutine of Run.
	journal           journal
	peer              string // holds the batches up to replicatedThrough
	replicatedThrough uint64
	lastBatch         time.Time
	lastFlush         time.Time
}

// NewMeter returns a Meter under a new incarnation.
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

// Add counts an answered request with its tokens once per request id. It returns false
// for an id that was counted before. It does no I/O.
func (m *Meter) Add(request, organisation, class, model string, in, out int64) bool {
	window := WindowAt(m.options.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[request] || m.seenPrevious[request] {
		return false
	}
	m.markSeen(request)
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

// markSeen remembers a request id for one to two generations.
func (m *Meter) markSeen(request string) {
	if len(m.seen) >= seenGenerationSize {
		m.seenPrevious = m.seen
		m.seen = make(map[string]bool, seenGenerationSize)
	}
	m.seen[request] = true
}

// Run creates, replicates and flushes batches until ctx ends, and then flushes the rest.
func (m *Meter) Run(ctx context.Context) error {
	ticker := time.NewTicker(batchInterval)
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

// step creates batches, replicates them, and flushes them when a flush is due.
func (m *Meter) step(ctx context.Context) {
	now := m.options.Now()
	if len(m.journal.batches) < maxBatches || now.Sub(m.lastBatch) >= overflowBatchInterval {
		m.cutBatches()
		m.lastBatch = now
	}
	interval := replicatedFlushInterval
	if !m.replicate(ctx) {
		interval = directFlushInterval
	}
	if now.Sub(m.lastFlush) < interval {
		return
	}
	m.lastFlush = now
	if err := m.flush(ctx); err != nil {
		m.options.Logger.Debug("failed to flush usage; retrying", "batches", len(m.journal.batches), "error", err)
	}
}

// cutBatches turns the pending usage into batches, one per window.
func (m *Meter) cutBatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for window, sums := range m.pending {
		m.sequence++
		m.journal.add(Batch{
			Origin: m.origin, Sequence: m.sequence, Window: window, Lines: sortedLines(sums),
		})
	}
	clear(m.pending)
	m.unflushed = len(m.journal.batches)
}

// replicate copies the batches that the peer does not hold yet. It returns false when no
// peer holds all batches.
func (m *Meter) replicate(ctx context.Context) bool {
	if m.options.Replicator == nil {
		return false
	}
	unreplicated := m.batchesAfter(m.replicatedThrough)
	if len(unreplicated) == 0 {
		return true
	}
	peer, err := m.sendBatches(ctx, unreplicated)
	if err == nil && peer != m.peer && len(unreplicated) < len(m.journal.batches) {
		peer, err = m.sendBatches(ctx, m.journal.batches)
	}
	if err != nil {
		m.peer, m.replicatedThrough = "", 0
		m.options.Logger.Debug("failed to replicate usage to a peer; flushing directly", "error", err)
		return false
	}
	m.peer, m.replicatedThrough = peer, m.journal.lastSequence()
	return true
}

func (m *Meter) sendBatches(ctx context.Context, batches []Batch) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for i := range batches {
		batches[i].Flushed = m.journal.flushedThrough
	}
	return m.options.Replicator.Replicate(ctx, batches)
}

// batchesAfter returns the held batches above a sequence.
func (m *Meter) batchesAfter(sequence uint64) []Batch {
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
	m.unflushed = len(m.journal.batches)
	m.mu.Unlock()
	return err
}

// drain flushes all usage in a graceful shutdown.
func (m *Meter) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	m.cutBatches()
	for {
		err := m.flush(ctx)
		if err == nil {
			return nil
		}
		if wait.For(ctx, batchInterval) != nil {
			m.replicate(context.WithoutCancel(ctx))
			return err
		}
	}
}

// Unflushed returns the number of batches that are not in the table service yet.
func (m *Meter) Unflushed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unflushed
}
