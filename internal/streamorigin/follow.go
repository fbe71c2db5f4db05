package streamorigin

import (
	"context"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// tickInterval is the interval between two looks at the list of servers.
	tickInterval = 500 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 2 * time.Second
	// baseRowsPage is the number of base rows that one call reads.
	baseRowsPage = 500
)

// baseLoop looks at the list of servers, and reads the base rows while one of them is not known,
// until ctx ends.
func (r *Registry) baseLoop(ctx context.Context) {
	var lastRead boottime.Instant
	for {
		now := r.now()
		complete := r.tick(now)
		if !complete && now.Sub(lastRead) >= baseReadInterval(r.options.Instances()) {
			lastRead = now
			if err := r.readBases(ctx); err != nil && ctx.Err() == nil {
				r.options.Logger.Debug("reading the base versions failed; all streams are recorded until the next try", "error", err)
			}
		}
		if wait.For(ctx, tickInterval) != nil {
			return
		}
	}
}

// tick records the list of servers and the store's epoch. It reports whether the base versions
// of all listed services are known.
func (r *Registry) tick(now boottime.Instant) bool {
	view, longest, epoch := r.options.View(), r.options.LongestTimeout(), r.epoch()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longest = max(r.longest, longest)
	r.observeEpoch(now, epoch)
	r.view = view
	r.watch.observe(now, view, maxWatchGap)
	r.known.observe(view, maxViewAge)
	return r.known.complete(view, epoch)
}

// observeEpoch notes a restore of the store, and which bases were relied on up to it, and has lost
// records written again. The caller must hold r.mu.
func (r *Registry) observeEpoch(now boottime.Instant, epoch uint64) {
	switch {
	case !r.started:
		r.started, r.firstEpoch = true, epoch
	case epoch != r.seenEpoch:
		r.epochSeen = now
		clear(r.trusted)
		for service, b := range r.known.bases {
			if b.relied && b.epoch == r.seenEpoch && now.Sub(r.view.AsOf) <= r.times().trust {
				r.trusted[service] = b.version
			}
		}
		r.rewriteLost(now, epoch)
	}
	r.seenEpoch = epoch
}

// readBases reads the base rows of all services.
func (r *Registry) readBases(ctx context.Context) error {
	rows, epoch, err := r.listBases(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeEpoch(r.now(), epoch)
	for service := range r.view.Services {
		held, ok := rows[service]
		if !ok {
			r.known.forget(service)
			continue
		}
		r.learn(service, held, epoch)
	}
	return nil
}

// learn records a base row that was read in an epoch. The caller must hold r.mu.
func (r *Registry) learn(service string, held heldRow, epoch uint64) {
	before, ok := r.known.bases[service]
	r.known.learn(service, held, epoch, r.view)
	if after := r.known.bases[service]; !ok || after.version != before.version || after.epoch != before.epoch || after.closed != before.closed {
		r.options.Logger.Info("base version read", "service", service, "version", after.version, "epoch", after.epoch, "closed", after.closed, "before", before.version)
	}
}

// listBases returns the base rows by service, and the epoch in which all of them were read.
func (r *Registry) listBases(ctx context.Context) (map[string]heldRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, start := r.epoch(), r.now()
	listed, err := r.listAllBases(ctx)
	if err != nil {
		return nil, 0, err
	}
	r.noteRead(r.now().Sub(start))
	if r.epoch() != epoch {
		return nil, 0, errRestored
	}
	rows := make(map[string]heldRow, len(listed))
	for _, row := range listed {
		held, err := decodeBase(row)
		if err != nil {
			r.options.Logger.Error("cannot decode a base version; the holder of the duty writes it again", "row", row.Key, "error", err)
			held = heldRow{version: row.Version, row: baseRow{Epoch: noEpoch}}
		}
		rows[strings.TrimPrefix(row.Key, basePrefix)] = held
	}
	return rows, epoch, nil
}

// listAllBases reads the base rows page by page.
func (r *Registry) listAllBases(ctx context.Context) ([]platform.Row, error) {
	var all []platform.Row
	after := ""
	for {
		page, err := r.options.Tables[0].List(ctx, basePrefix, after, baseRowsPage)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < baseRowsPage {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}
