package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// settledAfter is the time without arrivals after which open connections without a
	// running request are taken to carry none.
	settledAfter = 200 * time.Millisecond
	// unreadAfter is the same for connections that have not carried a request yet.
	unreadAfter         = time.Second
	settleCheckInterval = 10 * time.Millisecond
)

// arrivals observes callers' connections and requests. It is safe for concurrent use.
type arrivals struct {
	mu      sync.Mutex
	last    time.Time             // last time a connection was accepted or a request arrived
	running int                   // requests being answered
	new     map[net.Conn]struct{} // accepted connections of which no byte was read
}

func newArrivals() *arrivals {
	return &arrivals{last: time.Now(), new: map[net.Conn]struct{}{}}
}

// begin records the arrival of a request.
func (a *arrivals) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = time.Now()
	a.running++
}

// end records the end of a request's answer.
func (a *arrivals) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

// connState is the hook for http.Server.ConnState.
func (a *arrivals) connState(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateNew {
		a.last = time.Now()
		a.new[c] = struct{}{}
		return
	}
	delete(a.new, c)
}

// unread returns the number of open connections of which no byte was read.
func (a *arrivals) unread() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.new)
}

// settled reports whether no request runs and none is expected on open connections.
func (a *arrivals) settled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	quiet := time.Since(a.last)
	return a.running == 0 && (quiet >= unreadAfter || quiet >= settledAfter && len(a.new) == 0)
}
