package tally

import (
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/reports"
)

const (
	// exchangeInterval is the minimum time between two states that an instance sends to
	// the others. A crashed instance loses the counts since its last one.
	exchangeInterval = time.Second
	// exchangedWindows is the number of the newest windows in a state: a window is closed
	// while it is one of these.
	exchangedWindows = 3
	// maxHeard bounds the runs of other instances whose states are kept.
	maxHeard = 4096
)

// Exchange is the reports.Topic by which instances tell each other their counts. The
// closer adds what was heard to the rows in the store, so that a window also contains the
// requests that an instance counted after its last write and before it crashed. It is safe
// for concurrent use.
type Exchange struct {
	meter *Meter
	run   string
	now   func() time.Time // true time

	mu     sync.Mutex
	frozen map[int64]Counts // windows that this instance knows to be frozen in the store
	sentAt time.Time
	heard  map[reports.Origin]heardState // the newest of each run
}

// heardState is a state as it was received. It is decoded only where windows are closed, since
// every instance receives the states of all others.
type heardState struct {
	state []byte
	at    time.Time // true time
}

var _ reports.Topic = (*Exchange)(nil)

// exchangedRow is the state that an instance sends.
type exchangedRow struct {
	Run     string           `cbor:"1,keyasint"`
	Windows map[int64]Counts `cbor:"2,keyasint"`
	Through int64            `cbor:"3,keyasint"` // see Row.Through
	// Frozen are the windows that the instance froze, or found frozen, as the closer.
	Frozen map[int64]Counts `cbor:"4,keyasint,omitempty"`
}

// NewExchange returns an exchange of a meter's counts. run identifies the run of the
// instance and must equal SaverOptions.Run; now returns the true time.
func NewExchange(meter *Meter, run string, now func() time.Time) *Exchange {
	return &Exchange{meter: meter, run: run, now: now, heard: map[reports.Origin]heardState{}, frozen: map[int64]Counts{}}
}

// Name implements reports.Topic.
func (e *Exchange) Name() string { return "usage" }

// Collect implements reports.Topic.
func (e *Exchange) Collect() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if since := now.Sub(e.sentAt); since >= 0 && since < exchangeInterval {
		return nil
	}
	e.dropFrozen(now)
	windows := e.meter.newest(exchangedWindows)
	if len(windows) == 0 && len(e.frozen) == 0 {
		return nil
	}
	state, err := cbor.Marshal(exchangedRow{Run: e.run, Windows: windows, Through: now.UnixMilli(), Frozen: e.frozen})
	if err != nil {
		return nil // not reached: numbers and strings can always be encoded
	}
	e.sentAt = now
	return state
}

// Apply implements reports.Topic. The state is checked when it is decoded; see rows.
func (e *Exchange) Apply(origin reports.Origin, state []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if _, known := e.heard[origin]; !known && len(e.heard) >= maxHeard {
		return nil
	}
	e.heard[origin] = heardState{state: state, at: e.now()}
	return nil
}

// Forget implements reports.Topic. The counts of an instance outlive it.
func (e *Exchange) Forget(reports.Origin) {}

// expire drops states whose windows are too old to be reported.
func (e *Exchange) expire() {
	oldest := e.now().Add(-maxWindows * e.meter.window)
	maps.DeleteFunc(e.heard, func(_ reports.Origin, h heardState) bool { return h.at.Before(oldest) })
}

// seal records the counts of a window that the store has frozen, and tells the other instances.
// A restored store may have lost them, and the window must not be reported with others.
func (e *Exchange) seal(window int64, counts Counts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen[window] = counts
	e.dropFrozen(e.now())
	e.sentAt = time.Time{} // tell it with the next state
}

// dropFrozen forgets frozen windows that are too old to be reported. The caller must hold e.mu.
func (e *Exchange) dropFrozen(now time.Time) {
	oldest := WindowAt(now, e.meter.window) - maxWindows
	maps.DeleteFunc(e.frozen, func(n int64, _ Counts) bool { return n <= oldest })
}

// sealed returns the counts of a window that this instance or another one knows to be frozen, or
// nil if they know different ones. The result is false if none does.
func (e *Exchange) sealed(window int64) (Counts, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	counts, known := e.frozen[window]
	for _, h := range e.heard {
		var row exchangedRow
		if cbor.Unmarshal(h.state, &row) != nil {
			continue
		}
		other, ok := row.Frozen[window]
		if ok && known && !maps.Equal(counts, other) {
			return nil, true
		}
		if ok {
			counts, known = other, true
		}
	}
	return counts, known
}

// rows decodes the counts heard, by run. States that cannot be decoded are left out.
func (e *Exchange) rows() map[string]Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	rows := make(map[string]Row, len(e.heard))
	for _, h := range e.heard {
		var row exchangedRow
		if cbor.Unmarshal(h.state, &row) != nil || row.Run == "" || row.Run == e.run {
			continue
		}
		rows[row.Run] = rows[row.Run].merge(Row{Windows: row.Windows, Through: row.Through})
	}
	return rows
}

// merge returns the higher count of two states of one run for each window and
// organisation. It changes neither.
func (r Row) merge(other Row) Row {
	merged := Row{Windows: map[int64]Counts{}, Through: max(r.Through, other.Through)}
	for _, row := range []Row{r, other} {
		for number, counts := range row.Windows {
			if merged.Windows[number] == nil {
				merged.Windows[number] = Counts{}
			}
			for organisation, n := range counts {
				merged.Windows[number][organisation] = max(merged.Windows[number][organisation], n)
			}
		}
	}
	return merged
}
