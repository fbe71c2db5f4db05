package gateway

import (
	"sync"
	"time"
)

const (
	// delayInterval is the period of the timer that shows whether the process is delayed.
	delayInterval = 100 * time.Millisecond
	// maxTimerDelay is how late the timer may fire.
	maxTimerDelay = 15 * time.Millisecond
)

// delayMonitor detects that this process did not run when it should have, as under a limit
// of its CPU time. Times measured meanwhile say nothing about servers. The timer runs only
// while something is measured. The zero value is ready to use; it is safe for concurrent
// use.
type delayMonitor struct {
	mu      sync.Mutex
	users   int
	armed   bool
	dueAt   time.Time
	delayed time.Time // when the last delay ended; zero if there was none
}

// begin starts to watch, until end is called as often.
func (d *delayMonitor) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users++
	if !d.armed {
		d.arm(time.Now())
	}
}

func (d *delayMonitor) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users--
}

func (d *delayMonitor) arm(now time.Time) {
	d.armed = true
	d.dueAt = now.Add(delayInterval)
	time.AfterFunc(delayInterval, d.fired)
}

func (d *delayMonitor) fired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.check(now)
	d.armed = false
	if d.users > 0 {
		d.arm(now)
	}
}

// check notes a delay if the timer is overdue.
func (d *delayMonitor) check(now time.Time) {
	if d.armed && now.Sub(d.dueAt) > maxTimerDelay {
		d.delayed = now
	}
}

// since reports whether the process was delayed after from, as seen at now.
func (d *delayMonitor) since(from, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check(now)
	return d.delayed.After(from)
}
