package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	endedServers  = 6 // one at a time is in trouble: a share of 0.17
	endedTroubles = 2 // of each kind, one after the other
	endedEvery    = 7 * time.Second
	declineEvery  = 4 // one of so many bookings is declined by the application
	answerBytes   = 800
	answerParts   = 4 // in which a server writes an answer, over the time of its work
	answerEnd     = "end\n"

	rebornDown   = 2 * time.Second         // from the crash to the new process, behind the cut
	rebornCutFor = 2600 * time.Millisecond // 5.5 s on the sheet
)

// stateBorn is true if the servers tell everyone when they started, also with TROUBLE=report.
var stateBorn = os.Getenv("TROUBLE") == "report"

// endedWorld is what the servers and clients of this case share. Bookings are answered with neither
// a length nor chunks.
type endedWorld struct {
	*world
	links map[*server]*link

	mu      sync.Mutex
	writing map[int]map[*server]int // by status: answers of which a server has written a part

	whole, declined, other      atomic.Int64
	shortAnswers, shortDeclined atomic.Int64
}

// book answers a booking with 200, or with 409 and the reason if the application declines it.
func (e *endedWorld) book(s *server, rw http.ResponseWriter, r *http.Request) {
	_ = readBody(r)
	var n int
	_, _ = fmt.Sscanf(r.URL.Path, "/recolha/%d", &n)
	status := http.StatusOK
	if n%declineEvery == 0 {
		status = http.StatusConflict
	}
	rw.Header().Set("Transfer-Encoding", "identity") // net/http then writes neither a length nor chunks
	rw.WriteHeader(status)
	part := strings.Repeat("x", answerBytes/answerParts)
	for k := range answerParts {
		time.Sleep(bookWork / answerParts)
		switch k {
		case 1:
			e.count(status, s, 1)
		case answerParts - 1:
			e.count(status, s, -1) // the rest of the answer may be on its way
			part = part[:len(part)-len(answerEnd)] + answerEnd
		}
		if _, err := io.WriteString(rw, part); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

func (e *endedWorld) count(status int, s *server, by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writing[status] == nil {
		e.writing[status] = map[*server]int{}
	}
	e.writing[status][s] += by
}

// atWork waits until a server that runs has written a part of an answer with that status.
func (e *endedWorld) atWork(status int) (*server, error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		e.mu.Lock()
		for s, n := range e.writing[status] {
			if n > 0 && !s.crashed.Load() {
				e.mu.Unlock()
				return s, nil
			}
		}
		e.mu.Unlock()
	}
	return nil, fmt.Errorf("no server writes an answer with status %d", status)
}

// forget drops the counts of a server whose process ended.
func (e *endedWorld) forget(s *server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, byServer := range e.writing {
		delete(byServer, s)
	}
}

// crashOne ends the process of one server; another server takes its place.
func (e *endedWorld) crashOne() error {
	s, err := e.atWork(http.StatusConflict)
	if err != nil {
		return err
	}
	s.crash("its process ends")
	e.forget(s)
	return nil
}

// rebirth cuts one server off and ends its process; another process starts under its id behind the
// cut, which ends later.
func (e *endedWorld) rebirth() error {
	s, err := e.atWork(http.StatusOK)
	if err != nil {
		return err
	}
	k := e.links[s]
	k.cut()
	s.stop()
	e.record("server %s is cut off, and its process ends", s.id)
	time.Sleep(rebornDown)
	if err := s.startAgain(k); err != nil {
		return err
	}
	e.forget(s)
	e.record("server %s runs again behind the cut, under the same id", s.id)
	time.Sleep(rebornCutFor - rebornDown)
	k.heal()
	e.record("the cut of server %s has ended", s.id)
	return nil
}

// stop ends the process of the server; its entry in the store stays.
func (s *server) stop() {
	s.crashed.Store(true)
	_ = s.process.Close()
}

// startAgain starts another process under the server's id and address.
func (s *server) startAgain(k *link) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for server %s: %w", s.id, err)
	}
	s.mu.Lock()
	s.born = time.Now()
	s.mu.Unlock()
	s.sequence.Store(0)
	k.lead(l.Addr().String())
	s.crashed.Store(false)
	s.process = &http.Server{Handler: s}
	go func() { _ = s.process.Serve(l) }()
	go s.beatLoop()
	return s.beat()
}

// client books once.
func (e *endedWorld) client(n int) {
	i := e.instances[n%len(e.instances)]
	attempt := fmt.Sprintf("book-%d", n)
	began := time.Now()
	o := call(i.ingress, http.MethodPost, fmt.Sprintf("/recolha/%d", n), attempt, "drums")
	whole := len(o.body) == answerBytes && strings.HasSuffix(o.body, answerEnd)
	switch {
	case o.err != nil || o.status != http.StatusOK && o.status != http.StatusConflict:
		e.other.Add(1)
		e.record("client sent %s to %s: status %d, error %v, body %.80q", attempt, i.name, o.status, o.err, o.body)
		return
	case whole && o.status == http.StatusOK:
		e.whole.Add(1)
		return
	case whole:
		e.declined.Add(1)
		return
	case o.status == http.StatusOK:
		e.shortAnswers.Add(1)
	default:
		e.shortDeclined.Add(1)
	}
	e.record("MIXED: client got status %d for %s after %d ms and %d of %d bytes, as a complete answer",
		o.status, attempt, time.Since(began).Milliseconds(), len(o.body), answerBytes)
}

// runEnded: servers crash while they write, at first behind a cut, then in sight of the instances.
// No answer that ended early may look complete.
func runEnded(w *world) (int, error) {
	e := &endedWorld{world: w, links: map[*server]*link{}, writing: map[int]map[*server]int{}}
	for n := range endedServers {
		k, err := newLink()
		if err != nil {
			return 0, err
		}
		s, err := w.addServerBehind(k, fmt.Sprintf("i-%d", n), zoneName, appName, appSlots, nil, e.book)
		if err != nil {
			return 0, err
		}
		e.links[s] = k
	}
	if err := w.startInstances(); err != nil {
		return 0, err
	}
	var clients sync.WaitGroup
	stop := time.Now().Add(2*time.Second + 2*endedTroubles*endedEvery)
	clients.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			clients.Go(func() { e.client(n) })
			time.Sleep(bookEvery)
		}
	})
	time.Sleep(2 * time.Second)
	for n := range 2 * endedTroubles {
		next := time.Now().Add(endedEvery)
		start := e.rebirth
		if n >= endedTroubles {
			start = e.crashOne
		}
		if trouble {
			if err := start(); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Until(next))
	}
	clients.Wait()
	w.record("whole answers: %d with 200, %d with 409; answers that ended early and look complete: %d with 200, %d with 409; other answers, or none: %d",
		e.whole.Load(), e.declined.Load(), e.shortAnswers.Load(), e.shortDeclined.Load(), e.other.Load())
	switch {
	case e.whole.Load() < 100 || e.declined.Load() < 30:
		return 0, fmt.Errorf("too few bookings got their answer")
	case e.shortAnswers.Load()+e.shortDeclined.Load() > 0:
		return broken, nil
	}
	return held, nil
}
