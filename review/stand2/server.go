package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is one backend server of the platform, sound in all that it does.
type server struct {
	id, zone, service string
	slots             int
	heartbeat         time.Duration
	born              time.Time
	world             *world
	listener          net.Listener
	address           string // that its entry names
	// answer or run answers a request that runs.
	answer func(w http.ResponseWriter, r *http.Request)
	run    func(s *server, w http.ResponseWriter, r *http.Request)

	process   *http.Server
	crashed   atomic.Bool
	backAfter time.Duration // from a crash until another server takes its place

	active, queued atomic.Int64
	sequence       atomic.Int64
	runs           atomic.Int64

	mu    sync.Mutex
	free  chan struct{}
	phase string
}

// queueLimit is the number of requests that wait for a slot before the server turns more away.
const queueLimit = 24

func (w *world) addServer(id, zone, service string, slots int, answer func(http.ResponseWriter, *http.Request), run func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	return w.addServerBehind(nil, id, zone, service, slots, answer, run)
}

// addServerBehind is addServer for a server that is reached by a link, if there is one.
func (w *world) addServerBehind(k *link, id, zone, service string, slots int, answer func(http.ResponseWriter, *http.Request), run func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for server %s: %w", id, err)
	}
	s := &server{
		id: id, zone: zone, service: service, slots: slots, born: time.Now(), world: w, listener: l, address: l.Addr().String(), answer: answer, run: run,
		free: make(chan struct{}, slots), phase: "ready", heartbeat: heartbeat, backAfter: serverBack,
	}
	if k != nil {
		k.lead(s.address)
		s.address = k.address()
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	if err := s.beat(); err != nil {
		return nil, err
	}
	s.process = &http.Server{Handler: s}
	go func() { _ = s.process.Serve(l) }()
	go s.beatLoop()
	return s, nil
}

// Times of a crashed server: its entry stays for three intervals of its heartbeat, and another one
// is there some seconds after the crash.
const (
	entryStays = 3 * heartbeat
	serverBack = 4 * time.Second
)

// crash ends the server as the end of its process does: its listener and all connections are
// closed. Its entry is removed later, and another server takes its place.
func (s *server) crash(why string) {
	if s.crashed.Swap(true) {
		return
	}
	s.world.record("server %s crashes: %s", s.id, why)
	_ = s.process.Close()
	go func() {
		time.Sleep(entryStays)
		s.world.store.drop("servers", s.id)
		time.Sleep(s.backAfter - entryStays)
		if _, err := s.world.addServer(s.id+"n", s.zone, s.service, s.slots, nil, s.run); err != nil {
			s.world.record("no server takes the place of %s: %v", s.id, err)
		}
	}()
}

func (s *server) beatLoop() {
	for {
		select {
		case <-s.world.done:
			return
		case <-time.After(s.heartbeat):
			if s.crashed.Load() {
				return
			}
			_ = s.beat()
		}
	}
}

// beat writes the server's entry.
func (s *server) beat() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.world.store.put("servers", s.id, map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.slots,
		"phase": s.phase, "warmup_remaining_ms": 0, "sequence": s.sequence.Add(1), "born": s.born.UnixMilli(),
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id && !(stateBorn && r.URL.Path == "/-/report") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" || r.URL.Path == "/-/report" {
		writeJSON(w, http.StatusOK, map[string]any{"born": s.bornMillis(), "active": s.active.Load(), "queued": s.queued.Load()})
		return
	}
	if !s.take(r) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.world.record("server %s turns away %s", s.id, id)
		return
	}
	defer s.release()
	n := s.runs.Add(1)
	w.Header().Set("X-Server-Signature", s.id+"."+strconv.FormatInt(n, 10))
	if s.run != nil {
		s.run(s, w, r)
		return
	}
	s.answer(w, r)
}

func (s *server) bornMillis() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born.UnixMilli()
}

// take waits for a slot. It returns false if too many requests wait or the caller is gone.
func (s *server) take(r *http.Request) bool {
	if s.queued.Add(1) > queueLimit {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	select {
	case s.free <- struct{}{}:
		s.active.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *server) release() {
	s.active.Add(-1)
	<-s.free
}

// readBody returns the body of a request.
func readBody(r *http.Request) string {
	var b strings.Builder
	_, _ = io.Copy(&b, r.Body)
	return b.String()
}
