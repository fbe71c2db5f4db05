// Package tally counts the requests of each organisation per window of true time and
// reports every window once. Each instance stores its counts in a row of the platform's
// store. The holder of a duty sums the rows, freezes the sum in a row of its own, and
// reports only frozen sums, so that a retried report is identical:
//
//	Meter --> Saver --> usage/counts/RUN --> Closer --> usage/frozen/WINDOW --> Report
package tally

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"
)

// maxWindows bounds the windows in an instance's row.
const maxWindows = 6

// Counts is the number of requests by organisation.
type Counts map[string]int64

// Row holds the counts of one run of an instance.
type Row struct {
	// Windows holds the newest windows by number.
	Windows map[int64]Counts `json:"windows"`
	// Through is the true time, in Unix milliseconds, up to which the row is complete.
	Through int64 `json:"through"`
}

// Meter counts the requests of one instance. It is safe for concurrent use.
type Meter struct {
	window time.Duration
	now    func() time.Time

	mu        sync.Mutex
	windows   map[int64]Counts
	dirty     bool
	lastEnded int64 // newest window that had ended at the last snapshot
}

// NewMeter returns a Meter for windows of the given length; now returns the true time.
func NewMeter(window time.Duration, now func() time.Time) *Meter {
	return &Meter{window: window, now: now, windows: map[int64]Counts{}}
}

// WindowAt returns the number of the window that contains t.
func WindowAt(t time.Time, window time.Duration) int64 { return t.UnixNano() / int64(window) }

// Began counts a request that started running the given time ago.
func (m *Meter) Began(organisation string, ago time.Duration) {
	number := WindowAt(m.now().Add(-ago), m.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.windows[number]
	if counts == nil {
		counts = Counts{}
		m.windows[number] = counts
	}
	counts[organisation]++
	m.dirty = true
}

// Snapshot returns the encoded Row. It returns false when no count has changed and no
// window has ended since the last snapshot.
func (m *Meter) Snapshot() ([]byte, bool, error) {
	now := m.now()
	current := WindowAt(now, m.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dirty && current-1 <= m.lastEnded {
		return nil, false, nil
	}
	for number := range m.windows {
		if number <= current-maxWindows {
			delete(m.windows, number)
		}
	}
	data, err := json.Marshal(Row{Windows: m.windows, Through: now.UnixMilli()})
	if err != nil {
		return nil, false, fmt.Errorf("encode the counts: %w", err)
	}
	m.dirty = false
	m.lastEnded = current - 1
	return data, true, nil
}

// newest returns a copy of the counts of the given number of newest windows, the current
// one included. Windows without counts are left out.
func (m *Meter) newest(number int64) map[int64]Counts {
	current := WindowAt(m.now(), m.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	windows := map[int64]Counts{}
	for n := current - number + 1; n <= current; n++ {
		if counts := m.windows[n]; len(counts) > 0 {
			windows[n] = maps.Clone(counts)
		}
	}
	return windows
}

// Open returns the number of windows with counts that have not ended or are not stored
// yet.
func (m *Meter) Open() int {
	current := WindowAt(m.now(), m.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	open := 0
	for number := range m.windows {
		if number >= current || m.dirty && number > m.lastEnded {
			open++
		}
	}
	return open
}

// MarkDirty records that the last snapshot was not stored.
func (m *Meter) MarkDirty() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dirty = true
}

// saveDelay is the time between a window's end and the storing of its counts, so that
// requests which started in the window are included.
const saveDelay = 300 * time.Millisecond

// timeToSave returns the time until the next write: interval, or less when a window ends
// earlier.
func (m *Meter) timeToSave(interval time.Duration) time.Duration {
	now := m.now()
	end := time.Unix(0, (WindowAt(now.Add(-saveDelay), m.window)+1)*int64(m.window)).Add(saveDelay)
	return min(interval, end.Sub(now))
}
