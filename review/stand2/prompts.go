package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	promptServers = 6
	promptClients = 104 // at each instance
	promptParts   = 1970
	promptPieces  = 40
	promptPause   = 120 * time.Millisecond
	routeTimeout  = 2 * time.Second // timeout_ms of the ordinary requests
	lateBy        = 500 * time.Millisecond
	ordinaryPause = 100 * time.Millisecond // between two ordinary requests
	crashAfter    = 2 * time.Second        // the last prompt
	promptWatch   = 45 * time.Second
)

// runPiece is the answer of a model server: a stream of small pieces.
func runPiece(s *server, rw http.ResponseWriter, r *http.Request) {
	_ = readBody(r)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= promptPieces; n++ {
		time.Sleep(promptPause)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

// prompt returns the parts of the prompt of one client: promptParts of one token each, none of which
// is in another prompt. With TROUBLE=few there are three.
func prompt(client int) string {
	count := promptParts
	if os.Getenv("TROUBLE") == "few" {
		count = 3
	}
	parts := make([]string, count)
	for n := range parts {
		parts[n] = fmt.Sprintf("%x:1", 0x10000+client*promptParts+n)
	}
	return strings.Join(parts, ",")
}

// sendPrompt sends one request with the prompt, and reads its answer.
func sendPrompt(w *world, i *instance, client int) {
	attempt := fmt.Sprintf("rotulo-%d", client)
	parts := prompt(client)
	r, err := http.NewRequest(http.MethodPost, "http://"+i.ingress+"/rotulo/2f", strings.NewReader("label "+attempt))
	if err != nil {
		return
	}
	r.Host, r.Close = host, true
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", "12000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("X-Model-Id", "m")
	r.Header.Set("X-Token-Usage", "1970,100")
	r.Header.Set("X-Prefix-Hash", parts)
	r.Header.Set("Accept-Encoding", "identity")
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	answer, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		w.record("client sent %s, %d bytes of parts, to %s: error %v", attempt, len(parts), i.name, err)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	w.record("client sent %s, %d bytes of parts, to %s: status %d, %d events, error %v", attempt, len(parts), i.name, answer.StatusCode, len(pieceID.FindAllString(string(body), -1)), err)
}

// ordinary sends one ordinary request. It returns when the answer was complete, or its client gave up.
func ordinary(w *world, i *instance, attempt string) (took time.Duration, status int) {
	began := time.Now()
	defer func() {
		took = time.Since(began)
		w.record("client sent %s to %s: status %d after %.3f s", attempt, i.name, status, took.Seconds())
	}()
	conn, err := net.DialTimeout("tcp", i.ingress, dialTimeout)
	if err != nil {
		return 0, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(deadline))
	if _, err := io.WriteString(conn, head(http.MethodGet, "/tambor/"+attempt, attempt, 0)); err != nil {
		return 0, 0
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, 0
	}
	return 0, answer.StatusCode
}

// answers counts what the ordinary clients of one instance got.
type answers struct {
	mu                             sync.Mutex
	asked, served, atTimeout, late int
	last                           time.Time     // of an answer
	silence                        time.Duration // the longest time without one
}

func (a *answers) add(took time.Duration, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	if status == http.StatusOK {
		a.served++
	}
	if took > routeTimeout {
		a.atTimeout++
	}
	if took > routeTimeout+lateBy {
		a.late++
	}
	if status == 0 {
		return
	}
	now := time.Now()
	if !a.last.IsZero() {
		a.silence = max(a.silence, now.Sub(a.last))
	}
	a.last = now
}

// watch records the readiness and the memory of an instance.
func (w *world) watch(i *instance, stop time.Time) {
	peak, asked, ready := 0, 0, 0
	for time.Now().Before(stop) {
		asked++
		if i.ready() {
			ready++
		}
		for range 10 {
			peak = max(peak, residentMB(i.process.Process.Pid))
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.record("instance %s: %d of %d readiness checks answered 200; it held at most %d MB of %d", i.name, ready, asked, peak, memoryMB)
}

// runPrompts: clients send prompts of many parts, and a server that runs some of them crashes.
func runPrompts(w *world) (int, error) {
	w.routes = append(w.routes, map[string]any{
		"name": "r-tambor", "hostname": host, "prefix": "/tambor/", "route_type": "idempotent", "timeout_ms": routeTimeout.Milliseconds(),
		"target_latency_ms": 300, "priority": 2, "backend": appName, "max_attempts": 2, "anonymous": false,
	})
	for n := range promptServers {
		if _, err := w.addServer(fmt.Sprintf("i-m%d", n), zoneName, modelName, modelSlots, nil, runPiece); err != nil {
			return 0, err
		}
	}
	first := w.servers[0]
	if err := w.startApp(w.shortAnswer); err != nil {
		return 0, err
	}
	seen := make([]answers, len(w.instances))
	var all sync.WaitGroup
	stop := time.Now().Add(promptWatch)
	all.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			at := n % len(seen)
			all.Go(func() { seen[at].add(ordinary(w, w.instances[at], fmt.Sprintf("estado-%d", n))) })
			time.Sleep(ordinaryPause)
		}
	})
	for _, i := range w.instances {
		all.Go(func() { w.watch(i, stop) })
	}
	time.Sleep(5 * time.Second)
	clients := promptClients * len(w.instances)
	w.record("%d clients send a prompt of %d parts, once each", clients, strings.Count(prompt(0), ",")+1)
	for n := range clients {
		all.Go(func() { sendPrompt(w, w.instances[n%len(w.instances)], n) })
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(crashAfter)
	w.record("server %s runs %d requests", first.id, first.active.Load())
	if trouble {
		first.crash("srv_crash")
	}
	all.Wait()
	atTimeout, late := 0, 0
	for n, i := range w.instances {
		a := &seen[n]
		w.record("instance %s: running %t, ready %t; ordinary requests: %d of %d served, %d had no answer at their timeout of %v, %d of these none %v later; the longest time without an answer was %.1f s",
			i.name, i.running(), i.ready(), a.served, a.asked, a.atTimeout, routeTimeout, a.late, lateBy, a.silence.Seconds())
		atTimeout += a.atTimeout
		late += a.late
	}
	if late >= 8 && late*2 > atTimeout {
		return broken, nil
	}
	return held, nil
}
