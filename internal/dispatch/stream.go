package dispatch

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

const terminalEvent = "[DONE]"

var (
	errNoTerminalEvent = errors.New("the stream ended without its terminal event")
	errReplayDiffers   = errors.New("the replayed content differs from the content already sent to the caller")
	errBegunAgain      = errors.New("the stream begins again although the server stated that it goes on")
	errNotStream       = errors.New("the answer is not a stream but a stream has already been started for the caller")
)

// streamProgress is the part of a stream that the caller has received.
type streamProgress struct {
	singleChoice  bool           // one choice only, so the order of content events is deterministic
	roleSent      bool           // the role event was sent
	contentEvents int            // content events
	digest        uint64         // chained over the content events
	finishEvents  int            // finish events
	usageSent     bool           // the usage event was sent
	hasIdentity   bool           // identity is set
	identity      streamIdentity // of the first event
}

// resumable reports whether another attempt can continue the stream.
func (p *streamProgress) resumable() bool { return p.singleChoice }

// streamRelay relays the events of one attempt to the caller and skips those
// that an earlier attempt already delivered.
type streamRelay struct {
	a             *attempt
	x             *exchange
	contentEvents int    // counted from the start of the generation
	digest        uint64 // chained over the replayed content events
	finishEvents  int
	choices       choiceStates
	resumed       bool // the server goes on after the delivered content
}

// relayStream relays events up to and including the terminal event.
func (x *exchange) relayStream(a *attempt) *attemptError {
	s := &streamRelay{a: a, x: x, choices: choiceStates{}}
	if err := s.readResumePoint(); err != nil {
		return err
	}
	x.startStreamAnswer(a)
	for event, err := range a.readEvents() {
		if err != nil {
			return a.streamFailure(err)
		}
		done, failed := s.handle(event)
		if failed != nil {
			return failed
		}
		if done {
			return s.finish()
		}
	}
	return &attemptError{code: result.StreamBroken, cause: errNoTerminalEvent, connectionBroken: true}
}

// readResumePoint reads from the answer's header after which content event the
// engine resumes. An engine that does not send the header replays from the
// start.
func (s *streamRelay) readResumePoint() *attemptError {
	resumed := s.a.response.Header.Get(engineapi.ResumedHeader)
	if resumed == "" {
		return nil
	}
	if resumed != strconv.Itoa(s.a.resumeAfter) {
		cause := fmt.Errorf("server %q resumed after content event %s, want %d", s.a.target.Server, resumed, s.a.resumeAfter)
		return &attemptError{code: result.StreamBroken, cause: cause}
	}
	s.contentEvents = s.a.resumeAfter
	s.resumed = s.a.resumeAfter > 0
	return nil
}

func (x *exchange) startStreamAnswer(a *attempt) {
	if x.outcome.AnswerStarted {
		return
	}
	x.delivered.singleChoice = x.model.choices <= 1
	x.writeAnswerHeader(a)
	x.unflushed = true
}

// handle relays one event and reports whether it was the terminal event.
func (s *streamRelay) handle(event sse.Event) (done bool, failed *attemptError) {
	if event.Data == terminalEvent {
		if s.contentEvents < s.x.delivered.contentEvents {
			return false, &attemptError{code: result.StreamBroken, cause: errReplayDiffers, final: true}
		}
		if !s.choices.finished(s.x.model.choices) {
			return false, &attemptError{code: result.StreamBroken, cause: errNotFinished}
		}
		return true, nil
	}
	if event.Data == "" {
		return false, nil
	}
	c, err := parseChunk(event.Data)
	if err != nil {
		return false, &attemptError{code: result.StreamBroken, cause: err}
	}
	return false, s.relayChunk(event, &c)
}

func (s *streamRelay) relayChunk(event sse.Event, c *chunk) *attemptError {
	p := &s.x.delivered
	kind := s.kind(c)
	repeated, err := s.choices.add(c, event.Data)
	if err != nil {
		return &attemptError{code: result.StreamBroken, cause: err}
	}
	if repeated {
		return nil
	}
	if s.resumed && c.kind(false) == chunkRole && !s.choices.allFinished(c) {
		return &attemptError{code: result.StreamBroken, cause: errBegunAgain}
	}
	switch kind {
	case chunkError:
		cause := fmt.Errorf("server %q reported an error in the stream", s.a.target.Server)
		return &attemptError{code: result.BackendServerError, cause: cause}
	case chunkUsage:
		s.a.usage = Usage{InputTokens: c.Usage.PromptTokens, OutputTokens: c.Usage.CompletionTokens}
		if !s.x.model.includeUsage || p.usageSent {
			return nil
		}
		p.usageSent = true
	case chunkRole:
		if p.singleChoice && (p.roleSent || p.contentEvents > 0) {
			return nil
		}
		p.roleSent = true
	case chunkContent:
		fresh, err := s.countContent(c)
		if err != nil || !fresh {
			return err
		}
	case chunkFinish:
		if s.contentEvents < p.contentEvents {
			return &attemptError{code: result.StreamBroken, cause: errReplayDiffers, final: true}
		}
		s.finishEvents++
		if s.finishEvents <= p.finishEvents {
			return nil
		}
		p.finishEvents++
	case chunkOther:
		if s.contentEvents < p.contentEvents {
			return nil
		}
	}
	return s.deliver(event)
}

// kind classifies the chunk. One without text that follows the finish of its choices, for
// example with results of a content filter, is neither content nor a role event.
func (s *streamRelay) kind(c *chunk) chunkKind {
	kind := c.kind(s.contentEvents > 0)
	if kind != chunkContent && kind != chunkRole || c.hasText() {
		return kind
	}
	p := &s.x.delivered
	finishDelivered := p.singleChoice && p.finishEvents > 0 && s.contentEvents >= p.contentEvents
	if s.choices.allFinished(c) || kind == chunkContent && finishDelivered {
		return chunkOther
	}
	return kind
}

// countContent counts a content event and reports whether it is new to the
// caller.
func (s *streamRelay) countContent(c *chunk) (fresh bool, failed *attemptError) {
	p := &s.x.delivered
	s.contentEvents++
	s.a.receivedEvents++
	if s.contentEvents > p.contentEvents {
		if p.singleChoice && p.finishEvents > 0 {
			return false, &attemptError{code: result.StreamBroken, cause: errReplayDiffers, final: true}
		}
		p.digest = c.chainDigest(p.digest)
		p.contentEvents = s.contentEvents
		return true, nil
	}
	s.a.wastedEvents++
	s.digest = c.chainDigest(s.digest)
	if s.contentEvents == p.contentEvents && s.digest != p.digest {
		return false, &attemptError{code: result.StreamBroken, cause: errReplayDiffers, final: true}
	}
	return false, nil
}

// deliver writes an event to the caller. Events of later attempts get the
// identity of the first event.
func (s *streamRelay) deliver(event sse.Event) *attemptError {
	p := &s.x.delivered
	if !p.hasIdentity {
		p.hasIdentity, p.identity = true, parseIdentity(event.Data)
	}
	if len(p.identity.ID) > 0 && s.x.outcome.Attempts > 1 {
		event.Data = withIdentity(event.Data, p.identity)
	}
	return s.x.writeEvent(event.Type, event.Data)
}

// writeEvent writes an event. It is flushed before the next read of the answer.
func (x *exchange) writeEvent(eventType, data string) *attemptError {
	var m sse.Message
	if eventType != "" {
		m.Type = sse.Type(eventType)
	}
	m.AppendData(data)
	n, err := m.WriteTo(x.w)
	x.outcome.Bytes += n
	if err != nil {
		return &attemptError{code: result.CallerGone, cause: errors.Join(errCallerGone, err), final: true}
	}
	x.outcome.Events++
	x.unflushed = true
	return nil
}

// finish writes the terminal event and sets the usage to bill.
func (s *streamRelay) finish() *attemptError {
	if err := s.x.writeEvent("", terminalEvent); err != nil {
		return err
	}
	if err := s.x.flush(); err != nil {
		return &attemptError{code: result.CallerGone, cause: err, final: true}
	}
	s.x.outcome.Usage = s.billedUsage()
	s.a.drain()
	return nil
}

// billedUsage returns the usage that the engine reported, or an estimate if
// that covers fewer tokens than the content events delivered to the caller.
func (s *streamRelay) billedUsage() Usage {
	delivered := int64(s.x.delivered.contentEvents)
	if s.a.usage.OutputTokens > 0 && s.a.usage.OutputTokens >= delivered {
		return s.a.usage
	}
	return s.x.estimateUsage()
}

// isStream reports whether an answer consists of server-sent events.
func isStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}
