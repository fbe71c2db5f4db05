// Package eventstream reads streams of server-sent events that a router passes on byte by
// byte. It rejects bytes that are no event of the stream's run before any of them is passed
// on: a faulty server may send a second answer, or bytes of any kind, in the middle of a
// stream.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

const (
	bufferBytes = 4 << 10
	// MaxEventBytes bounds one event.
	MaxEventBytes = 1 << 20
	// maxQuotedBytes bounds what an error quotes of a line.
	maxQuotedBytes = 48
	// maxIDDigits bounds an id, so that it fits an int64.
	maxIDDigits = 18
)

var (
	// ErrTooLong reports an event of more than MaxEventBytes.
	ErrTooLong = errors.New("a stream event exceeds the maximum size")
	// ErrNoMemory reports an event for which there is no memory.
	ErrNoMemory = errors.New("the memory for unfinished stream events is in use")
	// ErrPartial reports a stream that ended in the middle of an event.
	ErrPartial = errors.New("the stream ended in the middle of an event")
)

// InvalidError reports bytes that are no event of the stream's run.
type InvalidError struct {
	// Line is the first part of the line that is not valid.
	Line []byte
	// AfterID is the id of the last valid event. Empty means that there was none.
	AfterID string
	// Reason is what the line lacks.
	Reason string
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("bytes that are no event of the stream, after id %q: %s: %q", e.AfterID, e.Reason, e.Line)
}

// Rules state what events look like. The zero value accepts events with or without data and
// ids. Numeric ids must increase, also after the id that the run is resumed after. Unknown
// fields are ignored if their names consist of letters, digits, '-', '_' and '.'.
type Rules struct {
	// Consecutive requires each event to carry data and an id. The ids are decimal numbers
	// without leading zeros, the first is 1, or one more than the id that the run is resumed
	// after, and each further one is one more than the last. An id to resume after that is no
	// decimal number counts as none. A run without events is not valid, unless it is resumed
	// after an event: then its last event may be the one that it is resumed after.
	Consecutive bool
	// KnownFieldsOnly rejects fields other than those of server-sent events and ExtraFields.
	KnownFieldsOnly bool
	// ExtraFields are names of fields that events may carry besides those of server-sent
	// events. They have no effect without KnownFieldsOnly.
	ExtraFields []string
	// IgnoreIDs accepts id fields of any value and number and reads none of them: Event.ID,
	// Seen and InvalidError have no ids. It excludes Consecutive.
	IgnoreIDs bool
}

// Event is one event.
type Event struct {
	// Bytes are the event's lines up to and including the blank line that ends it. They
	// are valid until the next call of Next.
	Bytes []byte
	// ID is the event's id. Empty means that it has none.
	ID string
}

// Reader reads the events of one run. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	rules  Rules
	lastID string // of the last event that had one, or that the run was resumed after
	seen   Seen
	event  []byte
	memory Memory // nil if it is not bounded
	held   int64  // of memory
}

// Seen is what a reader has returned so far.
type Seen struct {
	// Events is the number of events.
	Events int64
	// FirstID and LastID are the ids of the first and the last event that had one. Empty
	// means that none had.
	FirstID, LastID string
	// LargestStep is the largest difference between the ids of two successive events, if
	// these are numbers. It includes the step from the id after which the run was resumed.
	LargestStep int64
}

// String returns the fields as key=value pairs.
func (s Seen) String() string {
	return fmt.Sprintf("run_events=%d first_id=%q last_id=%q id_step=%d", s.Events, s.FirstID, s.LastID, s.LargestStep)
}

// Memory bounds what several readers keep together.
type Memory interface {
	// Grow reports whether there is room for n more bytes, and takes it.
	Grow(n int64) bool
	// Shrink gives room for n bytes back.
	Shrink(n int64)
}

// NewReader returns a reader. resumeAfter is the id after which the run goes on. Empty means
// that it begins.
func NewReader(r io.Reader, rules Rules, resumeAfter string) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, bufferBytes), rules: rules, lastID: resumeAfter}
}

// SetMemory makes the reader take room for events that are larger than its buffer. Without
// room Next returns ErrNoMemory.
func (r *Reader) SetMemory(m Memory) { r.memory = m }

// Seen returns what the reader has returned so far.
func (r *Reader) Seen() Seen { return r.seen }

// Next returns the next event. At the end of the stream it returns io.EOF, or ErrPartial in
// the middle of an event. It returns *InvalidError as soon as a line shows that the bytes are
// no event; all bytes since the last event are to be dropped then. It also returns
// *InvalidError at the end of a run that must have an event and has none. Other errors are
// those of the source.
func (r *Reader) Next() (Event, error) {
	r.reset()
	var fields eventFields
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && r.lacksEvents() {
			return Event{}, r.invalid(nil, "run without events")
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			return r.finish(&fields)
		}
		if err := r.addLine(&fields, line); err != nil {
			return Event{}, err
		}
	}
}

// eventFields are what the lines of an event hold.
type eventFields struct {
	id    string
	hasID bool
	data  bool
}

// readLine appends the next line to the event. It returns the line without its end. It
// checks the name of the line's field as soon as it has the first bytes, so that bytes
// without line ends are not kept.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.event)
	for {
		part, err := r.source.ReadSlice('\n')
		r.event = append(r.event, part...)
		switch {
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return nil, ErrPartial
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case err != nil && !r.isField(r.event[start:]):
			return nil, r.invalid(r.event[start:], "unknown field")
		case len(r.event) > MaxEventBytes:
			return nil, ErrTooLong
		case !r.hold():
			return nil, ErrNoMemory
		case err == nil:
			line := bytes.TrimSuffix(r.event[start:], []byte("\n"))
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
	}
}

// reset starts a new event. It keeps no large buffer.
func (r *Reader) reset() {
	if r.held > 0 {
		r.event = nil
		r.memory.Shrink(r.held)
		r.held = 0
	}
	r.event = r.event[:0]
}

// hold takes room for the event's buffer. It reports whether there is any.
func (r *Reader) hold() bool {
	need := int64(cap(r.event))
	if r.memory == nil || need <= max(r.held, 2*bufferBytes) {
		return true
	}
	if !r.memory.Grow(need - r.held) {
		return false
	}
	r.held = need
	return true
}

// addLine checks a line and adds it to the fields of the event.
func (r *Reader) addLine(fields *eventFields, line []byte) error {
	if !r.isField(line) {
		return r.invalid(line, "unknown field")
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data":
		fields.data = true
	case "id":
		if r.rules.IgnoreIDs {
			return nil
		}
		id := string(bytes.TrimPrefix(value, []byte(" ")))
		if reason := r.checkID(fields, id); reason != "" {
			return r.invalid(line, reason)
		}
		fields.id, fields.hasID = id, true
	}
	return nil
}

// lacksEvents reports whether the run may not end here because it has no events.
func (r *Reader) lacksEvents() bool {
	last, _ := parseID(r.lastID)
	return r.rules.Consecutive && last == 0
}

// isField reports whether the line is a comment or a field that events may have.
func (r *Reader) isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "id", "data", "event", "retry":
		return true
	}
	if r.rules.KnownFieldsOnly {
		return slices.Contains(r.rules.ExtraFields, string(name))
	}
	return !slices.ContainsFunc(name, isNoNameByte)
}

// isNoNameByte reports whether the names of fields lack the byte.
func isNoNameByte(c byte) bool {
	return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.')
}

// checkID returns why an event may not have the id, or an empty string.
func (r *Reader) checkID(fields *eventFields, id string) string {
	number, isNumber := parseID(id)
	last, lastIsNumber := parseID(r.lastID)
	switch {
	case fields.hasID:
		return "second id"
	case id == "":
		return "empty id"
	case !isNumber && (r.rules.Consecutive || lastIsNumber):
		return "id is no number"
	case isNumber && (r.rules.Consecutive || lastIsNumber) && number <= last:
		return "id does not come after the last one"
	case r.rules.Consecutive && number > last+1:
		return "events are missing before the id"
	case r.rules.Consecutive && id[0] == '0':
		return "id has leading zeros"
	}
	return ""
}

// parseID returns an id as a number. It returns 0 and false if it is none.
func parseID(id string) (int64, bool) {
	if len(id) > maxIDDigits || slices.ContainsFunc([]byte(id), func(c byte) bool { return c < '0' || c > '9' }) {
		return 0, false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return number, err == nil
}

// finish returns the event that a blank line has ended.
func (r *Reader) finish(fields *eventFields) (Event, error) {
	switch {
	case r.rules.Consecutive && !fields.hasID:
		return Event{}, r.invalid(r.event, "event without id")
	case r.rules.Consecutive && !fields.data:
		return Event{}, r.invalid(r.event, "event without data")
	}
	r.record(fields)
	return Event{Bytes: r.event, ID: fields.id}, nil
}

// record adds an event to what was seen.
func (r *Reader) record(fields *eventFields) {
	r.seen.Events++
	if !fields.hasID {
		return
	}
	number, isNumber := parseID(fields.id)
	last, lastIsNumber := parseID(r.lastID)
	if isNumber && lastIsNumber && r.lastID != "" {
		r.seen.LargestStep = max(r.seen.LargestStep, number-last)
	}
	if r.seen.FirstID == "" {
		r.seen.FirstID = fields.id
	}
	r.lastID, r.seen.LastID = fields.id, fields.id
}

func (r *Reader) invalid(line []byte, reason string) *InvalidError {
	return &InvalidError{Line: bytes.Clone(line[:min(len(line), maxQuotedBytes)]), AfterID: r.lastID, Reason: reason}
}
