package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// minPrefillShare is the share of Options.FirstToken that a fully cached prompt
// takes.
const minPrefillShare = 0.2

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) }

func (e *Engine) serveText(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) }

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g, body, err := e.readGeneration(w, r, chat)
	if err != nil {
		w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
		e.writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	previous := e.attempts.begin(g.attempt, cancel)
	defer e.attempts.end(g.attempt)
	e.setHeaders(w.Header(), g, previous)
	e.received(r, g)
	defer e.inFlight.Add(-1)
	if e.State(w.Header()) {
		e.writeError(w, http.StatusServiceUnavailable, "the engine wants a pause")
		return
	}
	if e.Poisoned(body) {
		e.ran(g)
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if g.request.Model != e.Model() {
		e.writeError(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", g.request.Model))
		return
	}
	if err := e.Delay(ctx, 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := e.slots.acquire(ctx, g.priority); err != nil {
		panic(http.ErrAbortHandler)
	}
	defer e.slots.release()
	e.ran(g)
	if g.request.Stream {
		e.stream(ctx, w, g)
	} else {
		e.answer(ctx, w, g)
	}
	if e.cold.answer() {
		e.recordColdLimit()
	}
}

func (e *Engine) received(r *http.Request, g *generation) {
	n := e.inFlight.Add(1)
	event := timeline.Event{
		Kind: timeline.BackendReceived, Server: e.options.Name, Zone: e.options.Zone,
		Service: g.request.Model, Attempt: g.attempt, Tier: g.priority, Count: n,
		KeyDigest: string(fault.CallerKeyDigest(r)),
	}
	if limit, exceeded := e.cold.received(int(n)); exceeded {
		event.Detail = fmt.Sprintf("exceeds the cold limit of %d", limit)
	}
	e.options.Recorder.Record(event)
}

func (e *Engine) ran(g *generation) {
	e.options.Recorder.Record(timeline.Event{
		Kind: timeline.BackendRan, Server: e.options.Name, Zone: e.options.Zone,
		Service: g.request.Model, Attempt: g.attempt,
	})
}

func (e *Engine) setHeaders(h http.Header, g *generation, previous string) {
	e.setEpoch(h)
	h.Set(engineapi.AttemptHeader, g.attempt)
	if e.Get().Crossed {
		h.Set(engineapi.AttemptHeader, "crossed-"+previous)
		e.options.Recorder.Record(timeline.Event{
			Kind: timeline.BackendMisattributed, Server: e.options.Name, Attempt: g.attempt, Detail: "crossed-" + previous,
		})
	}
	if g.resumed {
		h.Set(engineapi.ResumedHeader, fmt.Sprint(g.firstToken))
	}
}

// prefill waits for the time to first token, which is shorter for a cached prompt.
func (e *Engine) prefill(ctx context.Context, g *generation) error {
	cached := e.cache.store(engineapi.Prefixes(g.prompt))
	share := 1 - cached*(1-minPrefillShare)
	return e.Delay(ctx, time.Duration(float64(e.options.FirstToken)*share))
}

// answer writes a non-streamed answer.
func (e *Engine) answer(ctx context.Context, w http.ResponseWriter, g *generation) {
	if err := e.prefill(ctx, g); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := e.Delay(ctx, time.Duration(g.tokens-1)*e.options.BetweenTokens); err != nil {
		panic(http.ErrAbortHandler)
	}
	e.tokens.Add(int64(g.tokens))
	var text strings.Builder
	for i := range g.tokens {
		text.WriteString(g.token(i))
	}
	if e.ConsumeBreak() > 0 {
		e.cutAnswer(w)
	}
	answer := g.wholeAnswer(text.String())
	if e.Get().Late {
		fault.WriteTwice(w, answer)
		return
	}
	e.writeJSON(w, http.StatusOK, answer)
}

// cutAnswer sends fewer bytes than its Content-Length declares, and closes the
// connection.
func (e *Engine) cutAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(`{"id":`))
	panic(http.ErrAbortHandler)
}
