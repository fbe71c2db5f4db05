package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	greyShare    = 0.45                  // of the servers' requests fail: the largest dose of the site,
	greyFor      = 4 * time.Second       // "errors all", share 1.0 of the servers, for so long
	bookEvery    = 80 * time.Millisecond // 12.5 bookings a second; the sheet has 12
	bookBefore   = 5 * time.Second
	bookAfter    = 5 * time.Second
	bookWork     = 60 * time.Millisecond // work of a booking, as on the sheet
	bookTries    = 2                     // a client's attempts: one retry, as on the sheet
	retryDefault = 100 * time.Millisecond

	// The smaller dose of the site, with DOSE=small: "errors", share 0.14, x 0.45, 6.5 s. Other
	// requests come beside the bookings, as on the sheet.
	smallServers = 7 // one of them is grey
	smallFor     = 6500 * time.Millisecond
	besideEvery  = 20 * time.Millisecond
)

// smallDose is true if only one of seven servers turns grey.
var smallDose = os.Getenv("DOSE") == "small"

// greyStatus is the status with which a grey server reports that a booking failed after it ran.
// TROUBLE=500 makes it 500.
func greyStatus() int {
	if os.Getenv("TROUBLE") == "500" {
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// greyWorld is what the servers and clients of this case share.
type greyWorld struct {
	*world
	grey atomic.Bool

	mu   sync.Mutex
	runs map[string]int  // by booking: how often it was made
	ran  map[string]bool // attempts that ran
}

// book makes a booking. A grey server then fails to confirm a part of its bookings: what it needs for
// that is unavailable. It does not state that it has not run, as it has.
func (g *greyWorld) book(s *server, rw http.ResponseWriter, r *http.Request) {
	_ = readBody(r)
	if r.Method != http.MethodPost {
		time.Sleep(bookWork)
		_, _ = io.WriteString(rw, strings.Repeat("x", 800))
		return
	}
	attempt, booking := r.Header.Get("X-Attempt-Id"), strings.TrimPrefix(r.URL.Path, "/recolha/")
	time.Sleep(bookWork)
	g.mu.Lock()
	g.runs[booking]++
	g.ran[attempt] = true
	times := g.runs[booking]
	g.mu.Unlock()
	n := s.runs.Load()
	fails := g.grey.Load() && (!smallDose || s.id == "i-0") &&
		int64(greyShare*float64(n+1)) > int64(greyShare*float64(n))
	g.record("server %s makes booking %s for %s, time %d; fails after that: %t", s.id, booking, attempt, times, fails)
	if fails {
		rw.WriteHeader(greyStatus())
		_, _ = io.WriteString(rw, "the confirmation could not be written")
		return
	}
	_, _ = io.WriteString(rw, strings.Repeat("x", 800))
}

// client books once. It makes another attempt only after a promise that the first has not run and
// never will: 408, 421, 429 or 503.
func (g *greyWorld) client(n int, promisedRuns *atomic.Int64) {
	for try := range bookTries {
		i := g.instances[(n+try)%len(g.instances)]
		attempt := fmt.Sprintf("book-%d-%d", n, try)
		o := call(i.ingress, http.MethodPost, fmt.Sprintf("/recolha/%d", n), attempt, "drums")
		g.record("client sent %s to %s: status %d, error %v, body %.60q", attempt, i.name, o.status, o.err, o.body)
		switch o.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			return
		}
		g.mu.Lock()
		if g.ran[attempt] {
			promisedRuns.Add(1)
		}
		g.mu.Unlock()
		time.Sleep(retryDefault)
	}
}

// beside sends other requests, which the servers do not fail, until the case ends.
func (g *greyWorld) beside() {
	for n := 0; ; n++ {
		select {
		case <-g.done:
			return
		case <-time.After(besideEvery):
		}
		i := g.instances[n%len(g.instances)]
		go func() { call(i.ingress, http.MethodGet, fmt.Sprintf("/estado/%d", n), fmt.Sprintf("beside-%d", n), "") }()
	}
}

// runGrey: servers fail a part of their bookings with 503 after they have made them. A request that has
// run is not to be answered with a status that promises that it has not.
func runGrey(w *world) (int, error) {
	g := &greyWorld{world: w, runs: map[string]int{}, ran: map[string]bool{}}
	servers, length := 3, greyFor
	if smallDose {
		servers, length = smallServers, smallFor
	}
	for n := range servers {
		if _, err := w.addServer(fmt.Sprintf("i-%d", n), zoneName, appName, appSlots, nil, g.book); err != nil {
			return 0, err
		}
	}
	if err := w.startInstances(); err != nil {
		return 0, err
	}
	var promisedRuns atomic.Int64
	var clients sync.WaitGroup
	book := func(from, length time.Duration) {
		first := int(from / bookEvery)
		for n := range int(length / bookEvery) {
			clients.Add(1)
			go func() {
				defer clients.Done()
				g.client(first+n, &promisedRuns)
			}()
			time.Sleep(bookEvery)
		}
	}
	if smallDose {
		go g.beside()
	}
	book(0, bookBefore)
	g.grey.Store(trouble)
	w.record("the servers fail a part of their requests from now on: %t", trouble)
	book(bookBefore, length)
	g.grey.Store(false)
	w.record("the servers are sound")
	book(bookBefore+length, bookAfter)
	clients.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	twice := 0
	for _, n := range g.runs {
		if n > 1 {
			twice++
		}
	}
	w.record("%d bookings were made; %d requests ran and were answered with 408, 421, 429 or 503; %d bookings were made twice",
		len(g.runs), promisedRuns.Load(), twice)
	if len(g.runs) < 100 {
		return 0, fmt.Errorf("only %d bookings were made", len(g.runs))
	}
	if promisedRuns.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
