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
	errReplayDiffers   = errors.New("the replay differs from what the caller has")
	errNotAStream      = errors.New("the answer is no stream but one had begun")
)

// progress is how much of a stream the caller has.
type progress struct {
	sole     bool   // one choice only, so that the order of events is fixed
	role     bool   // the role event
	events   int    // content events
	digest   uint64 // chained over the content events
	finished int    // finish events
	usage    bool   // the usage event
	named    bool   // identity is that of the first event
	identity identity
}

// resumable reports whether another attempt can continue the stream.
func (p *progress) resumable() bool { return p.sole }

// streamRelay gives one attempt's events to the caller, leaving out those that
// an earlier attempt gave.
type streamRelay struct {
	a        *attempt
	x        *exchange
	seen     int    // content events, counted from the start of the generation
	digest   uint64 // over the replayed content events
	finishes int
}

// relayStream relays events until the terminal one.
func (x *exchange) relayStream(a *attempt) *attemptError {
	s := &streamRelay{a: a, x: x}
	if err := s.findStart(); err != nil {
		return err
	}
	x.startStream(a)
	for event, err := range sse.Read(a.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return a.explain(err)
		}
		done, failed := s.handle(event)
		if failed != nil {
			return failed
		}
		if done {
			return s.finish()
		}
	}
	return &attemptError{code: result.StreamBroken, cause: errNoTerminalEvent, connection: true}
}

// findStart reads at which content event the engine continues; an engine that
// does not say so starts anew.
func (s *streamRelay) findStart() *attemptError {
	resumed := s.a.response.Header.Get(engineapi.ResumedHeader)
	if resumed == "" {
		return nil
	}
	if resumed != strconv.Itoa(s.a.resumeAfter) {
		cause := fmt.Errorf("server %q resumed after event %s, not %d", s.a.target.Server, resumed, s.a.resumeAfter)
		return &attemptError{code: result.StreamBroken, cause: cause}
	}
	s.seen = s.a.resumeAfter
	return nil
}

func (x *exchange) startStream(a *attempt) {
	if x.outcome.Started {
		return
	}
	x.progress.sole = x.model.choices <= 1
	x.begin200(a)
	x.pending = true
}

// handle relays one event and reports whether it was the terminal one.
func (s *streamRelay) handle(event sse.Event) (done bool, failed *attemptError) {
	if event.Data == terminalEvent {
		if s.seen < s.x.progress.events {
			return false, &attemptError{code: result.StreamBroken, cause: errReplayDiffers, final: true}
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
	return false, s.relay(event, &c)
}

func (s *streamRelay) relay(event sse.Event, c *chunk) *attemptError {
	p := &s.x.progress
	switch c.kind(s.seen > 0) {
	case chunkError:
		cause := fmt.Errorf("server %q reported an error in the stream", s.a.target.Server)
		return &attemptError{code: result.BackendServerError, cause: cause}
	case chunkUsage:
		s.a.usage = Usage{InputTokens: c.Usage.PromptTokens, OutputTokens: c.Usage.CompletionTokens}
		if !s.x.model.wantsUsage || p.usage {
			return nil
		}
		p.usage = true
	case chunkRole:
		if p.role || p.events > 0 {
			return nil
		}
		p.role = true
	case chunkContent:
		fresh, err := s.content(c)
		if err != nil || !fresh {
			return err
		}
	case chunkFinish:
		s.finishes++
		if s.finishes <= p.finished {
			return nil
		}
		p.finished++
	case chunkOther:
		if s.seen < p.events {
			return nil
		}
	}
	return s.give(event)
}

// content counts a content event and reports whether the caller lacks it.
func (s *streamRelay) content(c *chunk) (fresh bool, failed *attemptError) {
	p := &s.x.progress
	s.seen++
	s.a.received++
	if s.seen > p.events {
		p.digest = c.chain(p.digest)
		p.events = s.seen
		return true, nil
	}
	s.a.wasted++
	s.digest = c.chain(s.digest)
	if s.seen == p.events && s.digest != p.digest {
		return false, &attemptError{code: result.StreamBroken, cause: errReplayDiffers, final: true}
	}
	return false, nil
}

// give writes an event to the caller. Events of a later attempt bear the
// identity of the first one's.
func (s *streamRelay) give(event sse.Event) *attemptError {
	p := &s.x.progress
	if !p.named {
		p.named, p.identity = true, readIdentity(event.Data)
	}
	if len(p.identity.ID) > 0 && s.x.outcome.Attempts > 1 {
		event.Data = withIdentity(event.Data, p.identity)
	}
	return s.x.writeEvent(event.Type, event.Data)
}

// writeEvent writes an event; it is flushed before the next wait.
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
	x.pending = true
	return nil
}

// finish writes the terminal event and settles what is billed.
func (s *streamRelay) finish() *attemptError {
	if err := s.x.writeEvent("", terminalEvent); err != nil {
		return err
	}
	if err := s.x.flush(); err != nil {
		return &attemptError{code: result.CallerGone, cause: err, final: true}
	}
	s.x.outcome.Usage = s.bill()
	s.a.drain()
	return nil
}

// bill takes the engine's figures unless they miss events that the caller has.
func (s *streamRelay) bill() Usage {
	delivered := int64(s.x.progress.events)
	if s.a.usage.OutputTokens > 0 && s.a.usage.OutputTokens >= delivered {
		return s.a.usage
	}
	return s.x.estimate()
}

// isStream reports whether an answer consists of server-sent events.
func isStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}
