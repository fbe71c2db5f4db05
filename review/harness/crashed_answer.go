package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runCrashedAnswer lets one of the servers crash while it writes plain answers that have
// neither a length nor chunks, and checks that no caller gets a success with less than the
// server's whole body.
func runCrashedAnswer(w *world) (bool, error) {
	zones := []string{"suva-a", "nadi-a"}
	w.platform.put("op", "config", config(
		[]any{map[string]any{
			"name": "lodge", "hostname": host, "prefix": "/lodge/", "route_type": "non_idempotent", "backend": "entries-app", "max_attempts": 1,
			"timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
		}},
		[]any{map[string]any{"name": "entries-app", "max_connections": 110}},
	))
	var servers []*server
	for n := range 4 {
		s, err := w.startServer(serverOptions{
			id: fmt.Sprintf("i-%d", n), service: "entries-app", zone: zones[n%2], capacity: 6, work: 30 * time.Millisecond,
			unframed: true, halfway: 150 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	// The server crashes once it runs atWork requests, after the first crashAt.
	const requests, crashAt, atWork = 900, 450, 4
	var mu sync.Mutex
	var ended []outcome
	var running sync.WaitGroup
	transport := newTransport()
	crashed := false
	for n := range requests {
		if n >= crashAt && w.trouble && !crashed && servers[0].running() >= atWork {
			crashed = true
			w.record.summary("server %s crashes", servers[0].options.id)
			servers[0].kill()
		}
		i := w.instances[n%len(w.instances)]
		running.Go(func() {
			o := w.send(transport, i, call{
				method: http.MethodPost, path: "/lodge/2f", key: apiKey, deadline: 4 * time.Second, body: fmt.Sprintf("entry %d", n),
			})
			mu.Lock()
			defer mu.Unlock()
			ended = append(ended, o)
		})
		time.Sleep(10 * time.Millisecond)
	}
	running.Wait()
	whole, short, failed := 0, 0, 0
	for _, o := range ended {
		switch {
		case o.status != http.StatusOK || o.err != nil:
			failed++
		case o.body != plainBody(o.id):
			short++
			w.record.summary("MIXED: %s got status 200 with %d of %d bytes as its whole answer", o.id, len(o.body), plainBytes)
		default:
			whole++
		}
	}
	w.record.summary("%d answers whole, %d short but complete to the caller, %d refused or failed", whole, short, failed)
	if whole == 0 || crashed != w.trouble {
		return false, fmt.Errorf("%w: no request was served, or no server was at work", errCouldNotRun)
	}
	return short > 0, nil
}
