package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverOptions configure one stand-in server.
type serverOptions struct {
	id, service, zone string
	capacity          int
	// work is the time from the arrival of a request to its answer or first event.
	work time.Duration
	// interval is the time between two events of a stream.
	interval time.Duration
	// unframed makes answers end with their connection, without length or chunks.
	unframed bool
	// pauseAt is the event before which each run is preempted for the time pause. Zero
	// means that none is.
	pauseAt int
	pause   time.Duration
	// crashPart is the id of a part of prompts, other than the last, on which the server
	// crashes when it begins to write an answer. Empty means that there is none.
	crashPart string
	// halfway is the time between the two halves of a plain answer.
	halfway time.Duration
}

// server is a stand-in server in a process of its own.
type server struct {
	options serverOptions
	address string
	command *exec.Cmd
	stdin   io.Closer // its end ends the server, should the harness be killed
	exited  chan struct{}
	record  *recorder
	born    int64

	mu   sync.Mutex
	runs map[string]int // by attempt id
	open map[string]bool
}

func newServer(o serverOptions, record *recorder) (*server, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &server{options: o, record: record, born: time.Now().UnixMilli(), runs: map[string]int{}, open: map[string]bool{}, exited: make(chan struct{})}
	s.command = exec.Command(self, "server", "-id", o.id, "-work", o.work.String(), "-interval", o.interval.String(),
		"-unframed="+strconv.FormatBool(o.unframed), "-pause-at", strconv.Itoa(o.pauseAt), "-pause", o.pause.String(), "-crash-part", o.crashPart, "-halfway", o.halfway.String())
	s.command.Stderr = os.Stderr
	if s.stdin, err = s.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := s.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewReader(out)
	first, err := lines.ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("server %s did not start: %w", o.id, err)
	}
	s.address = strings.TrimSpace(first)
	go func() {
		s.follow(lines)
		_ = s.command.Wait()
		close(s.exited)
	}()
	record.printf("server %s (%s, zone %s) runs at %s", o.id, o.service, o.zone, s.address)
	return s, nil
}

// follow reads what the server reports: "run ID", "end ID EVENTS" and "turned ID".
func (s *server) follow(lines *bufio.Reader) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		s.mu.Lock()
		switch fields[0] {
		case "run":
			s.runs[fields[1]]++
			s.open[fields[1]] = true
		case "end":
			delete(s.open, fields[1])
		}
		s.mu.Unlock()
		s.record.printf("server %s: %s", s.options.id, strings.TrimSpace(line))
	}
}

// ran returns how often the server began to run the request.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// running returns the number of requests that the server runs now.
func (s *server) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// register writes the server's row in the platform's store.
func (s *server) register(p *platform) {
	p.put("servers", s.options.id, map[string]any{
		"backend": s.options.service, "address": s.address, "zone": s.options.zone, "version": 1, "capacity": s.options.capacity,
		"phase": "ready", "warmup_remaining_ms": 0, "sequence": 1, "born": s.born,
	})
}

// kill ends the process, as a crash does, and waits until it has ended.
func (s *server) kill() {
	_ = s.command.Process.Kill()
	<-s.exited
}

// runServer is the process of a server. It prints its address, and what it does, to
// standard output.
func runServer(args []string) int {
	var h handler
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	flags.StringVar(&h.id, "id", "", "id")
	flags.DurationVar(&h.work, "work", 0, "time to the answer or first event")
	flags.DurationVar(&h.interval, "interval", 0, "time between two events")
	flags.BoolVar(&h.unframed, "unframed", false, "answers end with their connection")
	flags.IntVar(&h.pauseAt, "pause-at", 0, "event before which each run is preempted")
	flags.DurationVar(&h.pause, "pause", 0, "how long a run is preempted")
	flags.StringVar(&h.crashPart, "crash-part", "", "part of prompts on which the server crashes")
	flags.DurationVar(&h.halfway, "halfway", 0, "time between the halves of a plain answer")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitCouldNt
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(exitCouldNt)
	}()
	fmt.Println(l.Addr())
	_ = http.Serve(l, &h)
	return exitCouldNt
}

// handler answers requests as PROTOCOL.md tells of servers.
type handler struct {
	serverOptions

	mu sync.Mutex // of standard output
}

func (h *handler) say(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != h.id {
		w.Header().Set("X-Instance-Id", h.id)
		w.Header().Set("X-Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	h.say("run %s", id)
	events := 0
	defer func() { h.say("end %s %d", id, events) }()
	if !wait(r, h.work) {
		return
	}
	answer := newAnswer(w, h.unframed, map[string]string{"X-Attempt-Id": id, "X-Server-Signature": "3e1b.07." + h.id})
	defer answer.close()
	if h.crashesOn(r.Header.Get("X-Prefix-Hash")) {
		answer.write("text/event-stream", event(id, 1)[:20])
		os.Exit(exitCouldNt)
	}
	_, usage, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	count, err := strconv.Atoi(usage)
	if err != nil {
		body := plainBody(id)
		answer.write("text/plain", body[:len(body)/2])
		if h.halfway == 0 || wait(r, h.halfway) {
			answer.write("text/plain", body[len(body)/2:])
		}
		return
	}
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for n := from + 1; n <= count; n++ {
		pause := h.interval
		if n == h.pauseAt {
			pause = h.pause
		}
		if n > 1 && !wait(r, pause) {
			return
		}
		if !answer.write("text/event-stream", event(id, n)) {
			return
		}
		events++
	}
}

// crashesOn reports whether the prompt holds the part on which the server crashes.
func (h *handler) crashesOn(prompt string) bool {
	parts := strings.Split(prompt, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); h.crashPart != "" && id == h.crashPart {
			return true
		}
	}
	return false
}

// plainBytes is the size of a plain answer on the sheets.
const plainBytes = 800

// plainBody returns the body of the answer to a plain request.
func plainBody(id string) string {
	head := "answer to " + id + " "
	return head + strings.Repeat(".", plainBytes-len(head)-len("whole")) + "whole"
}

// event returns the n-th event of the answer to a request.
func event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d ..............\n\n", n, id, n)
}

// wait waits for d. It returns false if the connection was closed before.
func wait(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// answer is the answer to one request, in chunks or unframed.
type answer struct {
	w        http.ResponseWriter
	unframed bool
	header   map[string]string
	conn     net.Conn // of an unframed answer, once it has begun
	began    bool
}

func newAnswer(w http.ResponseWriter, unframed bool, header map[string]string) *answer {
	return &answer{w: w, unframed: unframed, header: header}
}

func (a *answer) begin(contentType string) bool {
	a.began = true
	if !a.unframed {
		for name, value := range a.header {
			a.w.Header().Set(name, value)
		}
		a.w.Header().Set("Content-Type", contentType)
		return true
	}
	conn, _, err := http.NewResponseController(a.w).Hijack()
	if err != nil {
		return false
	}
	a.conn = conn
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\nConnection: close\r\n")
	for name, value := range a.header {
		head.WriteString(name + ": " + value + "\r\n")
	}
	head.WriteString("\r\n")
	_, err = conn.Write([]byte(head.String()))
	return err == nil
}

// write writes a part of the body at once. It returns false if the connection is closed.
func (a *answer) write(contentType, part string) bool {
	if !a.began && !a.begin(contentType) {
		return false
	}
	if a.conn != nil {
		_, err := a.conn.Write([]byte(part))
		return err == nil
	}
	if _, err := io.WriteString(a.w, part); err != nil {
		return false
	}
	return http.NewResponseController(a.w).Flush() == nil
}

func (a *answer) close() {
	if a.conn != nil {
		_ = a.conn.Close()
	}
}
