// Package presence tells instances of one another through rows in the platform's
// store: who lives, how its time of day stands, and how much work it has.
package presence

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// Lifetime is how long a row counts after its last change, as long as the store
// is heard.
const Lifetime = 20 * time.Second

// Row is what one instance says of itself.
type Row struct {
	Zone string `json:"zone"`
	// Leaving is true once a planned stop has begun.
	Leaving bool `json:"leaving,omitempty"`
	// Offset is how far its time of day is before the store's clock. Nil: unknown.
	Offset *time.Duration `json:"offset,omitempty"`
	// Demand is its work by service.
	Demand map[string]Demand `json:"demand,omitempty"`
	// Address and Token lead to its listener for instances, and Cores is its share of
	// processors. Empty: it cannot be asked for the store's tables.
	Address string  `json:"address,omitempty"`
	Token   string  `json:"token,omitempty"`
	Cores   float64 `json:"cores,omitempty"`
	// Sequence rises with each write, so that each one is a change.
	Sequence uint64 `json:"sequence"`
}

// Demand is the work that one instance has for one service.
type Demand struct {
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting,omitempty"`
	// PromptRate and OutputRate are tokens a second that were sent to be read and
	// asked for.
	PromptRate float64 `json:"prompt_rate,omitempty"`
	OutputRate float64 `json:"output_rate,omitempty"`
}

// Encode returns the row's stored form.
func (r Row) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode the row of an instance: %w", err)
	}
	return data, nil
}

// seen is a row with the instant at which it last changed.
type seen struct {
	row Row
	at  boottime.Instant
}

// Board is the rows of all instances. It is safe for concurrent use.
type Board struct {
	mu   sync.Mutex
	rows map[string]seen
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{rows: map[string]seen{}} }

// Apply takes an update of the feed. It returns the error of a row that cannot
// be read; the other rows count.
func (b *Board) Apply(now boottime.Instant, u tablefeed.Update) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.Whole {
		clear(b.rows)
	}
	var fault error
	for _, r := range u.Rows {
		if r.Removed {
			delete(b.rows, r.Key)
			continue
		}
		var row Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			fault = fmt.Errorf("decode the row of instance %q: %w", r.Key, err)
			continue
		}
		b.rows[r.Key] = seen{row: row, at: now}
	}
	return fault
}

// Live returns the rows that changed within Lifetime before an instant. Pass the
// last one at which the store was heard, so that its outage ends no row.
func (b *Board) Live(heard boottime.Instant) map[string]Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := make(map[string]Row, len(b.rows))
	for name, s := range b.rows {
		if heard.Sub(s.at) < Lifetime {
			live[name] = s.row
		}
	}
	return live
}

// Oldest returns the age of the oldest live row, as of the instant at which the
// store was last heard. Zero: there is none.
func (b *Board) Oldest(heard boottime.Instant) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Duration(0)
	for _, s := range b.rows {
		if age := heard.Sub(s.at); age < Lifetime {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Stale returns the names of rows that had not changed for an age before the
// store was last heard.
func (b *Board) Stale(heard boottime.Instant, age time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name, s := range b.rows {
		if heard.Sub(s.at) >= age {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Names returns the names of rows in order.
func Names(rows map[string]Row) []string {
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Offsets returns what the instances say of their time of day.
func Offsets(rows map[string]Row) []time.Duration {
	var offsets []time.Duration
	for _, row := range rows {
		if row.Offset != nil {
			offsets = append(offsets, *row.Offset)
		}
	}
	return offsets
}

// Total sums the demand for a service over all instances.
func Total(rows map[string]Row, service string) Demand {
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
