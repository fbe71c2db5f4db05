package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	host   = "ficu95.example"
	tenant = "hule930"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// world holds everything that a case runs.
type world struct {
	record    *recorder
	trouble   bool
	dir       string
	platform  *platform
	instances []*instance

	mu      sync.Mutex
	servers []*server
	once    sync.Once
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	record, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p, err := newPlatform(record)
	if err != nil {
		return nil, err
	}
	return &world{record: record, trouble: trouble, dir: dir, platform: p}, nil
}

// close ends all processes that the case has started.
func (w *world) close() {
	w.once.Do(func() {
		for _, i := range w.instances {
			i.stop()
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, s := range w.servers {
			s.kill()
		}
		w.record.close()
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(w.dir)
		}
	})
}

// startInstances starts one instance in each of the zones and waits until all are ready.
func (w *world) startInstances(zones ...string) error {
	for n, zone := range zones {
		i, err := newInstance(n+1, zone, w.dir, zones, w.platform)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range w.instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(w.instances) {
			w.record.printf("all %d instances are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("%w: the instances are not ready", errCouldNotRun)
}

// startServer starts a stand-in server and registers it.
func (w *world) startServer(o serverOptions) (*server, error) {
	s, err := newServer(o, w.record)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	s.register(w.platform)
	return s, nil
}

// config is the operator's configuration.
func config(routes, backends []any) map[string]any {
	return map[string]any{
		"version": 1, "routes": routes, "backends": backends,
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
}
