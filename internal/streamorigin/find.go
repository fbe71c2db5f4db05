package streamorigin

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// findTimeout bounds the first read of the store for a resumption, and findTries their number.
	// Each further one gets findTimeout/2 more, since the store may be slow.
	findTimeout = 300 * time.Millisecond
	findTries   = 3
	findPause   = 50 * time.Millisecond
	// findRetryAfter is when a caller may ask again whose stream's origin was not found.
	findRetryAfter = time.Second
)

// found is what the store has of an attempt, all read in one epoch.
type found struct {
	epoch     uint64
	record    originRow
	hasRecord bool
	base      heldRow
	records   bool // there are records of other attempts, if the attempt is not named
}

// hasBase reports whether the service has a base version now.
func (f found) hasBase() bool { return f.base.version > 0 && f.base.row.Epoch == f.epoch }

// outdated reports whether a restore of the store may have lost a later record of the attempt. Once
// the service has a base version again, the streams of before the restore have ended, or no two
// versions served.
func (f found) outdated() bool {
	return f.hasRecord && f.record.Epoch != f.epoch && !f.hasBase()
}

// Find implements gateway.Origins. Only what this instance itself began is known without a read
// of the store.
func (r *Registry) Find(ctx context.Context, attempt, service string) (string, error) {
	if attempt == "" {
		return r.findUnnamed(ctx, service)
	}
	d := digestOf(attempt)
	r.mu.Lock()
	own, ok := r.own.get(d)
	r.mu.Unlock()
	if ok {
		return r.recorded(own, service, "local")
	}
	if err := r.awaitTurn(ctx); err != nil {
		return "", err
	}
	f, err := r.readTries(ctx, service, d.prefix())
	if err != nil {
		return "", err
	}
	if f.outdated() {
		r.countLookup("unknown")
		return "", &gateway.OriginUnknownError{Reason: "its record is of before a restore of the store, which may have lost a later one", RetryAfter: findRetryAfter}
	}
	if f.hasRecord {
		return r.recorded(f.record, service, "record")
	}
	return r.atBase(f)
}

// recorded returns the version of a record, if it is of the service.
func (r *Registry) recorded(o originRow, service, result string) (string, error) {
	if o.Unknown {
		r.countLookup("unknown")
		return "", &gateway.OriginUnknownError{Reason: "another process took the place of the server that was chosen while the stream began"}
	}
	if o.Service != service {
		r.countLookup("other_service")
		return "", &gateway.OriginUnknownError{Reason: fmt.Sprintf("the stream began at service %q", o.Service)}
	}
	r.countLookup(result)
	return o.Version, nil
}

// atBase returns the base version for a stream without a record.
func (r *Registry) atBase(f found) (string, error) {
	if !f.hasBase() {
		r.countLookup("unknown")
		return "", &gateway.OriginUnknownError{Reason: "it has no record, and the service has no base version now", RetryAfter: findRetryAfter}
	}
	r.countLookup("base")
	return f.base.row.Version, nil
}

// findUnnamed returns the base version if all streams of the service that may still run began at
// it: no other version is listed, and either there are no records at all or no other version was
// listed for as long as a stream may last.
func (r *Registry) findUnnamed(ctx context.Context, service string) (string, error) {
	if err := r.awaitTurn(ctx); err != nil {
		return "", err
	}
	f, err := r.readTries(ctx, service, originPrefix)
	if err != nil {
		return "", err
	}
	if f.hasBase() && !r.isOnly(service, f.base.row.Version, f.records) {
		r.countLookup("unnamed")
		return "", &gateway.OriginUnknownError{Reason: "the caller did not name the attempt that brought its first event, and it may have begun at several versions"}
	}
	return r.atBase(f)
}

// isOnly reports whether no stream of the service can have begun at another version, where
// records tells whether there are any.
func (r *Registry) isOnly(service, version string, records bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.view.AsOf) > maxViewAge || len(r.view.Services[service]) != 1 || !r.view.lists(service, version) {
		return false
	}
	return !records || r.watch.onlyFor(service, version, r.times().life)
}

// readTries reads the store until it answers, findTries times at most.
func (r *Registry) readTries(ctx context.Context, service, prefix string) (found, error) {
	var last error
	for try := range findTries {
		f, err := r.readOnce(ctx, service, prefix, findTimeout+time.Duration(try)*findTimeout/2)
		if err == nil {
			return f, nil
		}
		last = err
		if wait.For(ctx, findPause) != nil {
			r.countLookup("failed")
			return found{}, context.Cause(ctx)
		}
	}
	r.countLookup("failed")
	r.options.Logger.Debug("the origin of a stream was not found; the caller may ask again", "service", service, "tries", findTries, "retry_after", findRetryAfter, "error", last)
	return found{}, &gateway.OriginUnknownError{Reason: "the store does not answer", RetryAfter: findRetryAfter}
}

// readOnce reads the records with a prefix of all tables and the base row at the same time. If the
// prefix is originPrefix, it only finds out whether there are records.
func (r *Registry) readOnce(ctx context.Context, service, prefix string, timeout time.Duration) (found, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	f := found{epoch: r.epoch()}
	limit := maxOrdinals
	if prefix == originPrefix {
		limit = 1
	}
	listed := make([][]platform.Row, len(r.options.Tables))
	for i, table := range r.options.Tables {
		group.Go(func() (err error) {
			listed[i], err = table.List(ctx, prefix, "", limit)
			return err
		})
	}
	group.Go(func() error {
		rows, err := r.options.Tables[0].Get(ctx, basePrefix+service)
		if err != nil {
			return err
		}
		f.base, err = decodeBase(rows[0])
		return err
	})
	if err := group.Wait(); err != nil {
		return found{}, err
	}
	if r.epoch() != f.epoch {
		return found{}, errRestored
	}
	var rows []platform.Row
	for _, list := range listed {
		rows = append(rows, list...)
	}
	if prefix == originPrefix {
		f.records = len(rows) > 0
		return f, nil
	}
	var err error
	f.record, f.hasRecord, err = lastOrigin(rows, prefix)
	return f, err
}
