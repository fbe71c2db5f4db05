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
	// Each further one gets findTimeout/2 more. At a store that is known to be slow, or from which there
	// was no answer yet, each gets more.
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
	route     heldRow // base service of the route, if one is named
	records   bool    // there are records of other attempts, if the attempt is not named
}

// hasBase reports whether the service has a base version now.
func (f found) hasBase() bool { return f.isValid(f.base) }

// isValid reports whether a base row counts.
func (f found) isValid(h heldRow) bool { return h.version > 0 && h.row.Epoch == f.epoch }

// lookup is a resumption whose origin is looked up.
type lookup struct {
	group   string // of the route, "" if it is not known
	service string // that the route leads to now
	prefix  string // of the keys of the attempt's records
}

// outdated reports whether a restore of the store may have lost a later record of the attempt. Once
// the service has a base version again, the streams of before the restore have ended, or no two
// versions served.
func (f found) outdated() bool {
	return f.hasRecord && f.record.Epoch != f.epoch && !f.hasBase()
}

// Find implements gateway.Origins. Only what this instance itself began is known without a read
// of the store.
func (r *Registry) Find(ctx context.Context, attempt, service string) (string, error) {
	return r.find(ctx, "", attempt, service)
}

func (r *Registry) find(ctx context.Context, group, attempt, service string) (string, error) {
	if attempt == "" {
		return r.findUnnamed(ctx, lookup{group: group, service: service, prefix: originPrefix})
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
	l := lookup{group: group, service: service, prefix: d.prefix()}
	f, err := r.readTries(ctx, l)
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
	return r.atBase(f, l)
}

// recorded returns the version of a record, if it is of the service.
func (r *Registry) recorded(o originRow, service, result string) (string, error) {
	if o.Unknown {
		r.countLookup("unknown")
		return "", &gateway.OriginUnknownError{Reason: "another process took the place of the server that was chosen while the stream began"}
	}
	if o.Service != service {
		return "", r.otherService(o.Service)
	}
	r.countLookup(result)
	return o.Version, nil
}

// otherService returns the error of a stream that began at another service than the one that its route
// leads to now.
func (r *Registry) otherService(began string) error {
	r.countLookup("other_service")
	return &gateway.OriginUnknownError{Reason: fmt.Sprintf("the stream began at service %q", began)}
}

// checkService returns an error unless a stream without a record began at the service that its route
// leads to now.
func (r *Registry) checkService(f found, l lookup) error {
	switch {
	case l.group == "":
		r.mu.Lock()
		only := r.view.isOnlyService(l.service)
		r.mu.Unlock()
		if !only {
			r.countLookup("unknown")
			return &gateway.OriginUnknownError{Reason: "it has no record, and may have begun at several services"}
		}
	case !f.isValid(f.route):
		r.countLookup("unknown")
		return &gateway.OriginUnknownError{Reason: "it has no record, and the route has no base service now", RetryAfter: findRetryAfter}
	case f.route.row.Version != l.service:
		return r.otherService(f.route.row.Version)
	}
	return nil
}

// atBase returns the base version for a stream without a record.
func (r *Registry) atBase(f found, l lookup) (string, error) {
	if err := r.checkService(f, l); err != nil {
		return "", err
	}
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
func (r *Registry) findUnnamed(ctx context.Context, l lookup) (string, error) {
	if err := r.awaitTurn(ctx); err != nil {
		return "", err
	}
	f, err := r.readTries(ctx, l)
	if err != nil {
		return "", err
	}
	several := l.group != "" && !r.isOnly(l.group, l.service, f.records)
	if f.hasBase() && (several || !r.isOnly(l.service, f.base.row.Version, f.records)) {
		r.countLookup("unnamed")
		return "", &gateway.OriginUnknownError{Reason: "the caller did not name the attempt that brought its first event, and it may have begun at several versions"}
	}
	return r.atBase(f, l)
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
func (r *Registry) readTries(ctx context.Context, l lookup) (found, error) {
	var last error
	for try := range findTries {
		start := r.now()
		f, err := r.readOnce(ctx, l, r.readTimeout(try))
		if err == nil {
			r.noteRead(r.now().Sub(start))
			return f, nil
		}
		last = err
		if wait.For(ctx, findPause) != nil {
			r.countLookup("failed")
			return found{}, context.Cause(ctx)
		}
	}
	r.measureLater()
	r.countLookup("failed")
	r.options.Logger.Debug("the origin of a stream was not found; the caller may ask again", "service", l.service, "tries", findTries, "retry_after", findRetryAfter, "error", last)
	return found{}, &gateway.OriginUnknownError{Reason: "the store does not answer", RetryAfter: findRetryAfter}
}

// readOnce reads the records of all tables and the base rows at the same time. If the prefix is
// originPrefix, it only finds out whether there are records.
func (r *Registry) readOnce(ctx context.Context, l lookup, timeout time.Duration) (found, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	f := found{epoch: r.epoch()}
	limit := maxOrdinals
	if l.prefix == originPrefix {
		limit = 1
	}
	listed := make([][]platform.Row, len(r.options.Tables))
	for i, table := range r.options.Tables {
		group.Go(func() (err error) {
			listed[i], err = table.List(ctx, l.prefix, "", limit)
			return err
		})
	}
	group.Go(func() (err error) {
		f.base, f.route, err = r.readBaseRows(ctx, l)
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
	if l.prefix == originPrefix {
		f.records = len(rows) > 0
		return f, nil
	}
	var err error
	f.record, f.hasRecord, err = lastOrigin(rows, l.prefix)
	return f, err
}

// readBaseRows reads the base row of a service and, if the route is known, that of the route.
func (r *Registry) readBaseRows(ctx context.Context, l lookup) (base, route heldRow, err error) {
	keys := []string{basePrefix + l.service}
	if l.group != "" {
		keys = append(keys, basePrefix+l.group)
	}
	rows, err := r.options.Tables[0].Get(ctx, keys...)
	if err != nil {
		return heldRow{}, heldRow{}, err
	}
	base = r.decodeBaseOrInvalid(rows[0])
	if l.group != "" {
		route = r.decodeBaseOrInvalid(rows[1])
	}
	return base, route, nil
}

// decodeBaseOrInvalid decodes a base row. One that cannot be read is valid in no epoch.
func (r *Registry) decodeBaseOrInvalid(row platform.Row) heldRow {
	held, err := decodeBase(row)
	if err == nil {
		return held
	}
	r.options.Logger.Debug("cannot decode a base version; streams without a record are not resumed until it is written again", "row", row.Key, "error", err)
	return heldRow{version: row.Version, row: baseRow{Epoch: noEpoch}}
}
