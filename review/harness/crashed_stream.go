package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runCrashedStream lets one of the servers crash while it writes streams that have neither
// a length nor chunks, and checks that no caller gets a stream that looks complete but lacks
// its last pieces.
func runCrashedStream(w *world) (bool, error) {
	zones := []string{"suva-a", "nadi-a"}
	w.platform.put("op", "config", config(
		[]any{map[string]any{
			"name": "draft", "hostname": host, "prefix": "/draft/", "route_type": "streaming", "backend": "lm-desk", "max_attempts": 2,
			"timeout_ms": 12000, "target_latency_ms": 1000, "target_itl_ms": 120, "stream_resume": true, "priority": 0,
		}},
		[]any{map[string]any{"name": "lm-desk", "max_connections": 370, "runtime": map[string]any{"capacity": 64, "kv_capacity": 590828}}},
	))
	var servers []*server
	for n := range 6 {
		s, err := w.startServer(serverOptions{
			id: fmt.Sprintf("i-%d", n), service: "lm-desk", zone: zones[n%2], capacity: 64, work: 60 * time.Millisecond,
			interval: 40 * time.Millisecond, unframed: true,
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	const pieces = 43
	var mu sync.Mutex
	var ended []outcome
	var running sync.WaitGroup
	transport := newTransport()
	crashAt, end := 100, 200
	for n := range end {
		if n == crashAt && w.trouble {
			w.record.summary("server %s crashes", servers[0].options.id)
			servers[0].kill()
		}
		i := w.instances[n%len(w.instances)]
		running.Go(func() {
			o := w.send(transport, i, call{
				method: http.MethodPost, path: "/draft/2f", key: apiKey, deadline: 12 * time.Second, events: pieces,
				prompt: fmt.Sprintf("5c1e07a2:350,%x:1110", 1000+n), body: fmt.Sprintf("draft %d", n),
			})
			mu.Lock()
			defer mu.Unlock()
			ended = append(ended, o)
		})
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
	whole, short, failed := 0, 0, 0
	for _, o := range ended {
		switch {
		case o.status != http.StatusOK || o.err != nil:
			failed++
		case o.received < pieces:
			short++
			w.record.summary("ORDER: the stream of %s ended as complete after %d of %d pieces", o.id, o.received, pieces)
		default:
			whole++
		}
	}
	w.record.summary("%d streams whole, %d ended as complete too early, %d failed or broken off", whole, short, failed)
	if whole == 0 {
		return false, fmt.Errorf("%w: no stream was served", errCouldNotRun)
	}
	return short > 0, nil
}
