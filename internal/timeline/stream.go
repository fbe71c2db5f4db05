package timeline

import (
	"maps"
	"regexp"
	"strconv"
)

// Fields in the details of attempts, as the gateway writes them. Ids are quoted, so that an
// id cannot pass for a field.
var (
	runPattern    = regexp.MustCompile(`framing=(\w+) run_events=(\d+) first_id=("(?:[^"\\]|\\.)*") last_id=("(?:[^"\\]|\\.)*") id_step=(\d+)`)
	resumePattern = regexp.MustCompile(`resume_after=("(?:[^"\\]|\\.)*")`)
	// conclusionPattern matches the detail of AttemptUnframed.
	conclusionPattern = regexp.MustCompile(`^conclusion=(\w+)`)
)

// FramingConnection is the Framing of an answer that has neither a length nor chunks and
// ends with its connection.
const FramingConnection = "connection"

// States of AttemptUnframed events whose check confirmed the server.
const (
	// SameProcess: the process that gave the answer still answers.
	SameProcess = "same_process"
	// SameServer: the server still answers, but does not state which process it is.
	SameServer = "same_server"
	// Listens: the server, which cannot be asked who it is, accepts connections.
	Listens = "listens"
)

// Stream is what one instance recorded about a request that was answered with a stream
// of server-sent events.
type Stream struct {
	Request, Instance string
	// Runs are the attempts that were sent or of which events arrived, in order.
	Runs []StreamRun
	// End is the event that ended the request. Its Kind is empty if there is none.
	End Event
	// Ambiguous reports whether the instance served two requests with this id at once, so
	// that their events cannot be told apart.
	Ambiguous bool
}

// StreamRun is one attempt at a stream. Fields whose events are missing are zero.
type StreamRun struct {
	Server string
	// Sent reports whether the sending of the attempt was recorded.
	Sent bool
	// ResumeAfter is the id of the last event that the caller had before the attempt.
	ResumeAfter string
	// Framing is what marks the end of the answer: length, chunks or FramingConnection.
	// Empty means that the server sent no stream.
	Framing string
	// Events is the number of events of the run.
	Events int64
	// FirstID and LastID are the ids of the first and the last event that had one. Empty
	// means that none had.
	FirstID, LastID string
	// LargestStep is the largest difference between two successive ids, including
	// ResumeAfter.
	LargestStep int64
	// Check is the check of the server after the answer ended with its connection, or nil.
	Check *Event
	// Conclusion is what was concluded from Check.
	Conclusion string
	// End is the event that ended the attempt, or nil.
	End *Event
}

// Complete reports whether the request was answered in full, as far as the instance knew.
func (s Stream) Complete() bool { return s.End.Kind == RequestAnswered }

// Delivered returns the number of events of all runs.
func (s Stream) Delivered() int64 {
	var n int64
	for _, r := range s.Runs {
		n += r.Events
	}
	return n
}

// isStream reports whether a server answered with a stream.
func (s Stream) isStream() bool {
	for _, r := range s.Runs {
		if r.Framing != "" {
			return true
		}
	}
	return false
}

// streamKey identifies the stream that an event belongs to: a caller may send a request
// again to another instance under the same id.
type streamKey struct{ instance, request string }

// streamBuilder collects streams from events in order of time.
type streamBuilder struct {
	streams []*Stream
	open    map[streamKey]*Stream
	last    map[streamKey]*Stream
}

// Streams returns the streams in events, which Merge has ordered, in order of their first
// events. Requests that were answered by no stream are left out.
func Streams(events []Event) []Stream {
	b := streamBuilder{open: make(map[streamKey]*Stream), last: make(map[streamKey]*Stream)}
	for i := range events {
		b.add(&events[i])
	}
	var streams []Stream
	for _, s := range b.streams {
		if s.isStream() {
			streams = append(streams, *s)
		}
	}
	return streams
}

func (b *streamBuilder) add(e *Event) {
	if e.Kind == InstanceStarted {
		b.closeAll(e.Instance)
	}
	if e.Request == "" {
		return
	}
	key := streamKey{e.Instance, e.Request}
	switch e.Kind {
	case RequestReceived:
		b.receive(key)
	case AttemptSent:
		s := b.current(key)
		s.Runs = append(s.Runs, StreamRun{Server: e.Server, Sent: true, ResumeAfter: resumeAfter(e.Detail)})
	case AttemptUnframed:
		b.addCheck(key, e)
	case AttemptFailed, AttemptDeclined:
		b.current(key).endRun(e)
	case RequestAnswered:
		s := b.current(key)
		s.endRun(e)
		s.End = *e
		delete(b.open, key)
	case RequestRefused, RequestFailed:
		b.current(key).End = *e
		delete(b.open, key)
	}
}

// receive starts a stream. One that is open under the same key is then ambiguous too.
func (b *streamBuilder) receive(key streamKey) {
	previous := b.open[key]
	s := b.start(key)
	if previous != nil {
		previous.Ambiguous, s.Ambiguous = true, true
	}
}

// closeAll closes the open streams of an instance, whose process ended with them.
func (b *streamBuilder) closeAll(instance string) {
	maps.DeleteFunc(b.open, func(key streamKey, _ *Stream) bool { return key.instance == instance })
}

func (b *streamBuilder) start(key streamKey) *Stream {
	s := &Stream{Request: key.request, Instance: key.instance}
	if last := b.last[key]; last != nil {
		s.Ambiguous = last.Ambiguous
	}
	b.streams = append(b.streams, s)
	b.open[key], b.last[key] = s, s
	return s
}

// current returns the stream that has not ended yet, or a new one.
func (b *streamBuilder) current(key streamKey) *Stream {
	if s, ok := b.open[key]; ok {
		return s
	}
	return b.start(key)
}

// addCheck adds a check to the last run on its server. The request may have ended before
// the check did.
func (b *streamBuilder) addCheck(key streamKey, e *Event) {
	s, ok := b.last[key]
	if !ok {
		s = b.start(key)
	}
	for i := len(s.Runs) - 1; i >= 0; i-- {
		if s.Runs[i].Server == e.Server {
			s.Runs[i].setCheck(e)
			return
		}
	}
	run := StreamRun{Server: e.Server}
	run.setCheck(e)
	s.Runs = append(s.Runs, run)
}

func (r *StreamRun) setCheck(e *Event) {
	r.Check = e
	if fields := conclusionPattern.FindStringSubmatch(e.Detail); fields != nil {
		r.Conclusion = fields[1]
	}
}

// Confirmed reports whether a check confirmed the server after the answer ended with its
// connection.
func (r StreamRun) Confirmed() bool {
	if r.Check == nil {
		return false
	}
	switch r.Check.State {
	case SameProcess, SameServer, Listens:
		return true
	}
	return false
}

// endRun ends the last run, or adds one if its sending was not recorded.
func (s *Stream) endRun(e *Event) {
	last := len(s.Runs) - 1
	if last < 0 || s.Runs[last].End != nil || s.Runs[last].Server != e.Server {
		s.Runs = append(s.Runs, StreamRun{Server: e.Server})
		last++
	}
	s.Runs[last].End = e
	s.Runs[last].readDetail(e.Detail)
}

// readDetail sets the fields that the end of an attempt states about its stream.
func (r *StreamRun) readDetail(detail string) {
	fields := runPattern.FindStringSubmatch(detail)
	if fields == nil {
		return
	}
	r.Framing = fields[1]
	r.Events = number(fields[2])
	r.FirstID, r.LastID = unquoted(fields[3]), unquoted(fields[4])
	r.LargestStep = number(fields[5])
}

// resumeAfter returns the id that the sending of an attempt names in its detail.
func resumeAfter(detail string) string {
	if fields := resumePattern.FindStringSubmatch(detail); fields != nil {
		return unquoted(fields[1])
	}
	return ""
}

// unquoted returns the value of a Go string literal, or the empty string if it is none.
func unquoted(literal string) string {
	text, err := strconv.Unquote(literal)
	if err != nil {
		return ""
	}
	return text
}

// number returns a whole number, or zero if the digits exceed an int64.
func number(digits string) int64 {
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
