package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is limits.memory_mb of the settings. The platform kills a process that exceeds it.
	memoryMB = 134
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 250 * time.Millisecond
	// bodyBytes is within the max_body_bytes of the configuration.
	bodyBytes = 3 << 20
	// usualClients are the clients of one instance outside the burst, which multiplies them by
	// burstFactor for burstLength.
	usualClients = 12
	burstClients = 26 // usualClients times burstFactor
	burstFactor  = 2.2
	burstLength  = 9 * time.Second
	// bursts is the number of bursts, and burstPause the time before each of them.
	bursts     = 2
	burstPause = 5 * time.Second
	// endsForFault is how often a process may not end by itself.
	endsForFault = 3
)

// runBodies lets many clients send large bodies at once, and ends an instance whenever it
// exceeds the memory of its machine, as the platform does.
func runBodies(w *world) (bool, error) {
	w.platform.put("op", "config", config(
		[]any{map[string]any{
			"name": "review", "hostname": host, "prefix": "/review/", "route_type": "streaming", "backend": "lm-desk", "max_attempts": 2,
			"timeout_ms": 12000, "target_latency_ms": 2000, "target_itl_ms": 500, "stream_resume": true, "priority": 2,
		}},
		[]any{map[string]any{"name": "lm-desk", "max_connections": 370, "runtime": map[string]any{"capacity": 64, "kv_capacity": 590828}}},
	))
	zones := []string{"suva-a", "nadi-a"}
	for n := range 6 {
		_, err := w.startServer(serverOptions{
			id: fmt.Sprintf("i-%d", n), service: "lm-desk", zone: zones[n%2], capacity: 64, work: 300 * time.Millisecond, interval: 40 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	keepers := make([]*keeper, len(w.instances))
	for n, i := range w.instances {
		keepers[n] = &keeper{w: w, i: i}
		running.Go(func() { keepers[n].run(stop) })
	}
	var served, lost atomic.Int64
	body := strings.Repeat("x", bodyBytes)
	client := func(i *instance, end time.Time) {
		transport := newTransport()
		for time.Now().Before(end) {
			o := w.send(transport, i, call{
				method: http.MethodPost, path: "/review/2f", key: apiKey, deadline: 12 * time.Second, events: 40,
				prompt: fmt.Sprintf("5c1e07a2:13300,%x:3720", 1<<20+serial.Load()), body: body,
			})
			if o.status == http.StatusOK && o.err == nil {
				served.Add(1)
				continue
			}
			if o.status == 0 || o.err != nil {
				lost.Add(1)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	clients := func(count int, end time.Time) *sync.WaitGroup {
		var group sync.WaitGroup
		for _, i := range w.instances {
			for range count {
				group.Go(func() { client(i, end) })
			}
		}
		return &group
	}
	usual := clients(usualClients, time.Now().Add(bursts*(burstLength+burstPause)+burstPause))
	for range bursts {
		time.Sleep(burstPause)
		if !w.trouble {
			continue
		}
		w.record.summary("%.1f times as many clients come for %v", burstFactor, burstLength)
		clients(burstClients-usualClients, time.Now().Add(burstLength)).Wait()
	}
	usual.Wait()
	close(stop)
	running.Wait()
	faulty := 0
	for _, k := range keepers {
		w.record.summary("%s exceeded %d MB %d times; its peak was %d MB", k.i.name, memoryMB, k.ends, k.peak)
		if k.ends >= endsForFault {
			faulty++
		}
	}
	w.record.summary("%d requests served, %d ended without an answer or within it", served.Load(), lost.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("%w: no request was served", errCouldNotRun)
	}
	return faulty >= 2, nil
}

// keeper watches the memory of one instance, kills it above the limit and starts it again.
type keeper struct {
	w    *world
	i    *instance
	ends int
	peak int // in MB
}

func (k *keeper) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := residentMB(k.i.command.Process.Pid)
		k.peak = max(k.peak, used)
		if used <= memoryMB {
			continue
		}
		k.ends++
		k.w.record.printf("platform: %s uses %d MB and is killed", k.i.name, used)
		k.i.signal(syscall.SIGKILL)
		<-k.i.exited
		time.Sleep(restartDelay)
		if err := k.i.start(); err != nil {
			k.w.record.summary("%v", err)
			return
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}
