package main

import (
	"bufio"
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
	headClients  = 560 // at one instance after the other
	headBytes    = 15900
	headTime     = 15 * time.Second // at each
	restartDelay = 250 * time.Millisecond
	faultEnds    = 3 // of each of two machines, by the rule
	headCalm     = 5 * time.Second
)

// keeper watches the memory of one instance. It ends one that exceeds the memory of its machine, as
// the platform does, and starts it again. TROUBLE=watch ends none.
type keeper struct {
	i      *instance
	ends   int
	peakMB int
	down   time.Time // when it was ended; zero while it runs
}

// check must be called by the goroutine that started the instance.
func (k *keeper) check(w *world) error {
	if !k.down.IsZero() {
		if time.Since(k.down) < restartDelay {
			return nil
		}
		k.down = time.Time{}
		return w.launch(k.i)
	}
	used := residentMB(k.i.process.Process.Pid)
	k.peakMB = max(k.peakMB, used)
	if used <= memoryMB || os.Getenv("TROUBLE") == "watch" {
		return nil
	}
	k.ends++
	k.down = time.Now()
	w.record("instance %s holds %d MB of %d and is ended, time %d", k.i.name, used, memoryMB, k.ends)
	_ = k.i.process.Process.Kill()
	_ = k.i.process.Wait()
	return nil
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kB := 0
			_, _ = fmt.Sscan(value, &kB)
			return kB >> 10
		}
	}
	return 0
}

// longHead returns a request without a key, with a head of headBytes bytes that consists mostly of
// its id. TROUBLE=plain takes letters for the id, TROUBLE=0 an id of usual length.
func longHead() string {
	fill := "<"
	if os.Getenv("TROUBLE") == "plain" {
		fill = "a"
	}
	id := "9c41d07be2a35f68"
	format := "GET /estado/tambor HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n"
	if trouble {
		id = strings.Repeat(fill, headBytes-len(format)+2)
	}
	return fmt.Sprintf(format, id)
}

// ask sends the request again and again on one connection, without waiting for the answers, which it
// reads. It opens another connection if that one ends.
func ask(address, head string, stop time.Time, answered *atomic.Int64) {
	for time.Now().Before(stop) {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(stop)
		go func() {
			defer conn.Close()
			answers := bufio.NewReader(conn)
			for {
				answer, err := http.ReadResponse(answers, nil)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					return
				}
				answered.Add(1)
			}
		}()
		for err == nil {
			_, err = io.WriteString(conn, head)
		}
		_ = conn.Close()
	}
}

// runHeads: clients without a key send requests with long heads. No process may exceed the memory of
// its machine.
func runHeads(w *world) (int, error) {
	w.oneCore = true
	if err := w.startApp(w.shortAnswer); err != nil {
		return 0, err
	}
	served := 0
	for n := range 10 {
		if w.callWithRetry(n, "before") {
			served++
		}
	}
	if served < 9 {
		return 0, fmt.Errorf("only %d of 10 requests were served before", served)
	}
	var keepers []*keeper
	for _, i := range w.instances {
		keepers = append(keepers, &keeper{i: i})
	}
	head := longHead()
	var answered atomic.Int64
	for _, attacked := range w.instances {
		w.record("%d clients send GET /estado/tambor without a key to %s, with heads of %d bytes, for %v", headClients, attacked.name, len(head), headTime)
		var clients sync.WaitGroup
		stop := time.Now().Add(headTime)
		for range headClients {
			clients.Go(func() { ask(attacked.ingress, head, stop, &answered) })
		}
		for end := stop.Add(headCalm); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, k := range keepers {
				if err := k.check(w); err != nil {
					return 0, err
				}
			}
		}
		clients.Wait()
	}
	served = 0
	for n := range 10 {
		if w.callWithRetry(n, "after") {
			served++
		}
	}
	w.record("%d requests without a key were answered; proper requests in calm afterwards: %d of 10 served", answered.Load(), served)
	over := 0
	for _, k := range keepers {
		w.record("instance %s: ended %d times for its memory, peak %d MB of %d, %d MB of log", k.i.name, k.ends, k.peakMB, memoryMB, k.i.logged.bytes.Load()>>20)
		if k.ends >= faultEnds {
			over++
		}
	}
	if over >= 2 {
		return broken, nil
	}
	return held, nil
}
