// Package presence defines the rows by which instances announce themselves in the
// platform's table service: that they are live, how far their clock is off, and how
// much work they have.
package presence

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// RowTTL is how long a row is live after its last change. Time during which the
// table service is unreachable does not count; see Live.
const RowTTL = 20 * time.Second

// Row is one instance's announcement.
type Row struct {
	Zone string `json:"zone"`
	// Draining is true once a planned stop has begun.
	Draining bool `json:"leaving,omitempty"`
	// Offset is how far the instance's wall clock is ahead of the table service's
	// clock. Nil means unknown.
	Offset *time.Duration `json:"offset,omitempty"`
	// Demand is the instance's demand by service.
	Demand map[string]Demand `json:"demand,omitempty"`
	// Address and Token give other instances access to this instance's listener,
	// and Cores is its share of processors. Empty means that the instance does not
	// serve tables to others.
	Address string  `json:"address,omitempty"`
	Token   string  `json:"token,omitempty"`
	Cores   float64 `json:"cores,omitempty"`
	// Quarantine holds the parts of prompts that the instance refuses because they
	// crash backend servers. It outlives the instance.
	Quarantine []quarantine.Verdict `json:"quarantine,omitempty"`
	// Epoch is the store's epoch in which the instance read the operators' table, and Config
	// the newest version of the configuration that it knows. Settled is true once what the
	// epoch's restore lost must have been written again. See MayServe. A nil Epoch means that
	// the table was not read, or that the store states no epoch.
	Epoch   *uint64 `json:"epoch,omitempty"`
	Config  uint64  `json:"config,omitempty"`
	Settled bool    `json:"settled,omitempty"`
	// Sequence increases with each write, so that each write is a change.
	Sequence uint64 `json:"sequence"`
}

// Demand is the demand that one instance has for one service.
type Demand struct {
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting,omitempty"`
	// PromptRate is the rate of prompt tokens sent for prefill, and OutputRate the
	// rate of output tokens requested, both per second.
	PromptRate float64 `json:"prompt_rate,omitempty"`
	OutputRate float64 `json:"output_rate,omitempty"`
}

// Encode returns the row's stored form, which is JSON.
func (r Row) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode presence row: %w", err)
	}
	return data, nil
}

// Bounds of what an instance can announce. Other rows come from other writers.
const (
	maxRequests   = 1 << 24 // in flight or waiting
	maxTokenRate  = 1e12    // tokens per second
	maxCores      = 1 << 12
	maxZoneLength = 256 // bytes
)

// outOfRange returns the name of a field whose value no instance can have, or "" if there
// is none.
func (r *Row) outOfRange() string {
	if len(r.Zone) > maxZoneLength {
		return "zone"
	}
	if r.Cores < 0 || r.Cores > maxCores {
		return "cores"
	}
	for _, d := range r.Demand {
		if !d.inRange() {
			return "demand"
		}
	}
	return ""
}

func (d Demand) inRange() bool {
	return d.InFlight >= 0 && d.InFlight <= maxRequests && d.Waiting >= 0 && d.Waiting <= maxRequests &&
		d.PromptRate >= 0 && d.PromptRate <= maxTokenRate && d.OutputRate >= 0 && d.OutputRate <= maxTokenRate
}

// timedRow is a row and the time of its last change.
type timedRow struct {
	row       Row
	changedAt boottime.Instant
	version   uint64 // of the row in the store
	lacked    bool   // a restored store did not list the row, and it was not written since
}

// Registry holds the rows of all instances. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	rows      map[string]timedRow
	keepUntil boottime.Instant // until then rows that a restored store lacks are kept
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{rows: map[string]timedRow{}} }

// Apply applies an update of the table feed. Rows that were known before a restore of the store
// stay until their instances write again, or until they expire. If a row cannot be decoded,
// the other rows are still applied and the error of the last such row is returned.
func (b *Registry) Apply(now boottime.Instant, u tablefeed.Update) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case u.Restored:
		b.keepUntil = now.Add(RowTTL)
		b.markLacked()
	case !now.Before(b.keepUntil):
		b.forget(u.Full)
	}
	var rowErr error
	for _, r := range u.Rows {
		if err := b.applyRow(now, r, u.Restored); err != nil {
			rowErr = err
		}
	}
	return rowErr
}

// markLacked marks all rows as not listed by a restored store. Those that it lists are applied next.
func (b *Registry) markLacked() {
	for name, s := range b.rows {
		s.lacked = true
		b.rows[name] = s
	}
}

// forget drops all rows, or those that a restored store lacks: no removal of these is read.
func (b *Registry) forget(all bool) {
	maps.DeleteFunc(b.rows, func(_ string, s timedRow) bool { return all || s.lacked })
}

// applyRow applies one row. restored is true for the first rows of a restored store.
func (b *Registry) applyRow(now boottime.Instant, r tablefeed.Row, restored bool) error {
	if r.Removed {
		delete(b.rows, r.Key)
		return nil
	}
	known, ok := b.rows[r.Key]
	if ok && restored {
		known.version, known.lacked = r.Version, false
		b.rows[r.Key] = known
		return nil
	}
	if ok && r.Version > 0 && r.Version <= known.version {
		return nil
	}
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return fmt.Errorf("decode presence row of instance %q: %w", r.Key, err)
	}
	if field := row.outOfRange(); field != "" {
		return fmt.Errorf("presence row of instance %q: %s is out of range", r.Key, field)
	}
	b.rows[r.Key] = timedRow{row: row, changedAt: now, version: r.Version}
	return nil
}

// Live returns the rows that changed within RowTTL before lastContact. Pass the
// time of the last contact with the table service rather than the current time, so
// that an outage of the service expires no row.
func (b *Registry) Live(lastContact boottime.Instant) map[string]Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := make(map[string]Row, len(b.rows))
	for name, s := range b.rows {
		if lastContact.Sub(s.changedAt) < RowTTL {
			live[name] = s.row
		}
	}
	return live
}

// OldestAge returns the age of the oldest live row at lastContact, the time of the
// last contact with the table service. It returns zero when there is no live row.
func (b *Registry) OldestAge(lastContact boottime.Instant) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Duration(0)
	for _, s := range b.rows {
		if age := lastContact.Sub(s.changedAt); age < RowTTL {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Stale returns the sorted names of rows that had not changed for at least age at
// lastContact.
func (b *Registry) Stale(lastContact boottime.Instant, age time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name, s := range b.rows {
		if lastContact.Sub(s.changedAt) >= age {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MayServe reports whether an instance that has just started may act on the operators' rows that
// it has read in an epoch of the store, of which config is the newest version of the
// configuration. A row of an earlier epoch shows that the store was restored, so that operators'
// rows may be missing until a row of this epoch is settled; waited is true once the time in which
// they are written again is over. A newer configuration in a row of this epoch is always awaited.
func MayServe(rows map[string]Row, epoch, config uint64, waited bool) bool {
	restored, settled := false, waited
	for _, row := range rows {
		switch {
		case row.Epoch == nil: // says nothing
		case *row.Epoch > epoch, row.Config > config:
			return false
		case *row.Epoch < epoch:
			restored = true
		default:
			settled = settled || row.Settled
			restored = restored || !row.Settled
		}
	}
	return settled || !restored
}

// SortedNames returns the sorted names of rows.
func SortedNames(rows map[string]Row) []string {
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Offsets returns the known clock offsets.
func Offsets(rows map[string]Row) []time.Duration {
	var offsets []time.Duration
	for _, row := range rows {
		if row.Offset != nil {
			offsets = append(offsets, *row.Offset)
		}
	}
	return offsets
}

// Verdicts returns the verdicts in all rows, also of instances that are no longer live.
func (b *Registry) Verdicts() []quarantine.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	var verdicts []quarantine.Verdict
	for _, s := range b.rows {
		verdicts = append(verdicts, s.row.Quarantine...)
	}
	return verdicts
}

// TotalDemand returns the total demand of all instances for a service.
func TotalDemand(rows map[string]Row, service string) Demand {
	var total Demand
	for _, row := range rows {
		d := row.Demand[service]
		total.InFlight += d.InFlight
		total.Waiting += d.Waiting
		total.PromptRate += d.PromptRate
		total.OutputRate += d.OutputRate
	}
	return total
}
