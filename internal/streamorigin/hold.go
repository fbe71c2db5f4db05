package streamorigin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// holdInterval is the interval between two decisions of the holder of the duty.
	holdInterval = 500 * time.Millisecond
	// reloadInterval is the interval between two reads of the rows by the holder.
	reloadInterval = 10 * time.Second
)

// holder is what the holder of the duty knows of the base rows.
type holder struct {
	registry *Registry
	loaded   bool // rows are as the store had them in the epoch
	loadedAt boottime.Instant
	epoch    uint64
	rows     map[string]heldRow
	closed   map[string]boottime.Instant // when a row was first known to be closed
}

// Hold decides the base versions and deletes old records until ctx ends or held returns an error,
// which is returned. One instance at a time should do so; if two do, no stream goes on at a wrong
// version.
func (r *Registry) Hold(ctx context.Context, held func() error) error {
	h := &holder{registry: r, closed: map[string]boottime.Instant{}}
	s := &sweeper{registry: r}
	for {
		if err := held(); err != nil {
			return err
		}
		if err := h.step(ctx); err != nil {
			h.loaded = false // the outcome of a write may be unknown
			r.options.Logger.Debug("deciding the base versions failed; trying again", "error", err)
		}
		s.step(ctx)
		if err := wait.For(ctx, holdInterval); err != nil {
			return err
		}
	}
}

// step writes the base rows that change.
func (h *holder) step(ctx context.Context) error {
	if err := h.load(ctx); err != nil {
		return err
	}
	for service, next := range h.decide() {
		if err := h.write(ctx, service, next); err != nil {
			return err
		}
	}
	return nil
}

// load reads the rows unless they are known.
func (h *holder) load(ctx context.Context) error {
	now := h.registry.now()
	if h.loaded && h.epoch == h.registry.epoch() && now.Sub(h.loadedAt) < reloadInterval {
		return nil
	}
	rows, epoch, err := h.registry.listBases(ctx)
	if err != nil {
		return err
	}
	for service, held := range rows {
		h.noteClosed(h.registry.now(), service, held, h.rows[service])
	}
	h.rows, h.epoch, h.loaded, h.loadedAt = rows, epoch, true, now
	return nil
}

// noteClosed remembers since when a row is known to be closed.
func (h *holder) noteClosed(now boottime.Instant, service string, row, before heldRow) {
	_, known := h.closed[service]
	switch {
	case !row.row.Closed:
		delete(h.closed, service)
	case !known || row.version != before.version:
		h.closed[service] = now
	}
}

// decide returns the rows that change, by service.
func (h *holder) decide() map[string]baseRow {
	r := h.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.view.AsOf.IsZero() || now.Sub(r.view.AsOf) > maxViewAge || r.seenEpoch != h.epoch {
		return nil
	}
	next := map[string]baseRow{}
	for service, servers := range r.view.Services {
		trusted, isTrusted := r.trusted[service]
		row, changes := nextBase(baseInputs{
			service: service, held: h.rows[service], epoch: h.epoch, servers: servers, watch: r.watch, times: r.times(),
			bootstrap: r.neverBegan(service), epochSeen: r.epochSeen, closedSeen: h.closed[service], trusted: trusted, isTrusted: isTrusted,
		})
		if changes {
			next[service] = row
		}
	}
	return next
}

// write writes a row on the condition that it is as it was read. A write that takes effect late
// is harmless: nothing began without a record in between, or the row has changed.
func (h *holder) write(ctx context.Context, service string, next baseRow) error {
	r := h.registry
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	before := h.rows[service]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := basePrefix + service
	versions, err := r.options.Tables[0].Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: before.version}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	if r.epoch() != h.epoch {
		return errRestored
	}
	written := heldRow{version: versions[0], row: next}
	h.noteClosed(r.now(), service, written, before)
	h.rows[service] = written
	r.options.Logger.Info("base version changed", "service", service, "from", before.row.Version, "to", next.Version, "closed", next.Closed, "epoch", next.Epoch, "first", before.version == 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.baseWrites++
	r.learn(service, written, h.epoch)
	return nil
}
