package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contact is timing_bounds.contact_ms.
	contact = 3 * time.Second
	// serverBack is how long a crashed server is away, and entryExpires how long its entry
	// stays, which is three intervals of heartbeat_ms.
	serverBack   = 4 * time.Second
	entryExpires = 3600 * time.Millisecond
)

// Parts of prompts, in hexadecimal.
const (
	deskPart = "5c1e07a2" // of all prompts of the route
	oldMeet  = "91bd3f06"
	newMeet  = "a17c44e0"
	badPart  = "e4402b7d" // crashes each server that begins to write an answer on it
)

// runDeepPart lets a part of a prompt crash servers whose prompts all go on with the same
// sound part, and checks that sound requests with that part still begin.
func runDeepPart(w *world) (bool, error) {
	zones := []string{"suva-a", "nadi-a"}
	w.platform.put("op", "config", config(
		[]any{map[string]any{
			"name": "rules", "hostname": host, "prefix": "/rules/", "route_type": "streaming", "backend": "lm-desk", "max_attempts": 2,
			"timeout_ms": 12000, "target_latency_ms": 1200, "target_itl_ms": 200, "stream_resume": true, "priority": 1,
		}},
		[]any{map[string]any{"name": "lm-desk", "max_connections": 370, "runtime": map[string]any{"capacity": 64, "kv_capacity": 590828}}},
	))
	crashes := w.keepServers(zones, 8)
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var ended []outcome
	var running sync.WaitGroup
	transport := newTransport()
	serial := 0
	ask := func(sound bool, parts string) {
		serial++
		i, number := w.instances[serial%len(w.instances)], serial
		running.Go(func() {
			c := call{
				method: http.MethodPost, path: "/rules/2f", key: apiKey, deadline: 6 * time.Second, events: 8,
				prompt: fmt.Sprintf("%s,%x:250", parts, 0x10000+number), body: fmt.Sprintf("rules %d", number),
			}
			o := w.send(transport, i, c)
			if sound {
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, o)
			} else if o.status != http.StatusOK || o.err != nil {
				time.Sleep(300 * time.Millisecond)
				w.send(transport, i, c) // the client's retry
			}
		})
	}
	// phase sends sound requests, and bad ones if it has some, each at its interval.
	phase := func(length time.Duration, sound, bad string) {
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			if sound != "" {
				ask(true, sound)
			}
			if bad != "" && w.trouble && n%10 == 0 {
				ask(false, bad)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	old := deskPart + ":350," + oldMeet + ":2800"
	fresh := deskPart + ":350," + newMeet + ":2800"
	bad := deskPart + ":350," + badPart + ":600," + newMeet + ":2800"
	phase(8*time.Second, old, "")
	calmEnd := time.Now()
	w.record.summary("the first requests about the new meet come")
	phase(8*time.Second, "", bad)
	phase(24*time.Second, fresh, bad)
	running.Wait()
	from := calmEnd
	at := crashes()
	for n, t := range at {
		if n < 5 {
			from = t.Add(2 * contact)
		}
	}
	calm, later := tally{}, tally{}
	for _, o := range ended {
		switch {
		case o.sentAt.Before(calmEnd):
			calm.count(o, w)
		case !o.sentAt.Before(from):
			later.count(o, w)
		}
	}
	w.record.summary("%d crashes; sound requests that began: %d of %d before, %d of %d from %v on", len(at), calm.begun, calm.asked, later.begun, later.asked, from.Sub(w.record.start).Round(100*time.Millisecond))
	if calm.asked < 20 || later.asked < 20 {
		return false, fmt.Errorf("%w: too few requests", errCouldNotRun)
	}
	return later.share() < calm.share()/2, nil
}

// tally counts sound requests and those that a server began to run.
type tally struct{ asked, begun int }

func (t *tally) count(o outcome, w *world) {
	t.asked++
	if w.ran(o.id) {
		t.begun++
	}
}

func (t *tally) share() float64 { return float64(t.begun) / float64(max(t.asked, 1)) }

// ran reports whether a server began to run the request.
func (w *world) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.ran(id) > 0 {
			return true
		}
	}
	return false
}

// keepServers starts count servers, and another one some seconds after each crash. It returns
// a function that returns the times of the crashes.
func (w *world) keepServers(zones []string, count int) func() []time.Time {
	var mu sync.Mutex
	var crashes []time.Time
	var keep func(n, generation int)
	keep = func(n, generation int) {
		s, err := w.startServer(serverOptions{
			id: fmt.Sprintf("i-%d-%d", n, generation), service: "lm-desk", zone: zones[n%len(zones)], capacity: 64,
			work: 60 * time.Millisecond, interval: 40 * time.Millisecond, crashPart: badPart,
		})
		if err != nil {
			return
		}
		go func() {
			<-s.exited
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.record.printf("server %s has crashed", s.options.id)
			time.Sleep(entryExpires)
			w.platform.rows.Delete("servers", s.options.id)
			time.Sleep(serverBack - entryExpires)
			keep(n, generation+1)
		}()
	}
	for n := range count {
		keep(n, 0)
	}
	return func() []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return append([]time.Time(nil), crashes...)
	}
}
