// Package logsink writes log lines without ever blocking the caller. A Sink puts
// lines into a bounded buffer that one goroutine writes out. Lines that do not fit
// are dropped and counted by kind.
package logsink

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// DefaultLines is the default number of lines that a Sink buffers.
const DefaultLines = 4096

// maxBatchBytes limits the lines that are batched into one write. A write of up to
// 4096 bytes (PIPE_BUF on Linux) to a pipe is atomic, so a process that is killed
// leaves no partial line.
const maxBatchBytes = 4 << 10

// DiagnosticLine is the kind of lines that come from a logger rather than from an event.
const DiagnosticLine = "diagnostic"

// Sink is an io.Writer that never blocks. Each Write must hold one or more whole lines.
// It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	written atomic.Uint64 // bytes
	done    chan struct{}

	closing sync.RWMutex // write-locked while lines is closed
	closed  bool

	mu      sync.Mutex
	dropped map[string]uint64 // lines by kind
}

// New returns a sink that writes to out and buffers up to the given number of lines;
// zero means DefaultLines. Close must be called to write the buffered lines.
func New(out io.Writer, lines int) *Sink {
	if lines <= 0 {
		lines = DefaultLines
	}
	s := &Sink{out: out, lines: make(chan []byte, lines), done: make(chan struct{}), dropped: map[string]uint64{}}
	go s.run()
	return s
}

// Write implements io.Writer for a logger. It never fails; Dropped counts the dropped
// lines.
func (s *Sink) Write(line []byte) (int, error) {
	s.put(DiagnosticLine, append([]byte(nil), line...))
	return len(line), nil
}

// put queues a line of a kind and reports whether it fitted into the buffer. It takes
// ownership of line.
func (s *Sink) put(kind string, line []byte) bool {
	s.closing.RLock()
	defer s.closing.RUnlock()
	if s.closed {
		s.countDropped(kind, 1)
		return false
	}
	select {
	case s.lines <- line:
		return true
	default:
		s.countDropped(kind, 1)
		return false
	}
}

func (s *Sink) countDropped(kind string, lines uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped[kind] += lines
}

// Dropped returns the number of dropped lines by kind.
func (s *Sink) Dropped() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.dropped)
}

// Written returns the number of bytes written out.
func (s *Sink) Written() uint64 { return s.written.Load() }

// WriteMetrics writes the sink's metrics in the Prometheus text format.
func (s *Sink) WriteMetrics(w io.Writer) {
	dropped := s.Dropped()
	for _, kind := range slices.Sorted(maps.Keys(dropped)) {
		fmt.Fprintf(w, "hawthornwick_log_lines_left_out_total{kind=%q} %d\n", kind, dropped[kind])
	}
	fmt.Fprintf(w, "hawthornwick_log_bytes_total %d\n", s.Written())
}

// Close writes the buffered lines and stops the sink. Later lines are dropped and counted: a
// connection may outlive the instance that logs about it.
func (s *Sink) Close() {
	s.closing.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.closing.Unlock()
	<-s.done
}

// unwritable is the kind under which lines are counted whose write to the output failed.
const unwritable = "unwritable"

func (s *Sink) run() {
	defer close(s.done)
	var batch []byte
	lines := uint64(0)
	flush := func() {
		n, err := s.out.Write(batch)
		s.written.Add(uint64(n))
		if err != nil {
			s.countDropped(unwritable, lines) // the output is the log itself, so the error can only be counted
		}
		batch, lines = batch[:0], 0
	}
	for line := range s.lines {
		if lines > 0 && len(batch)+len(line) > maxBatchBytes {
			flush()
		}
		batch = append(batch, line...)
		lines++
		if len(s.lines) == 0 {
			flush()
		}
	}
}
