package engine

import (
	"context"
	"encoding/json"
	"net/http"
)

// eventWriter writes server-sent events and flushes each.
type eventWriter struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

func (ew eventWriter) send(c completion) {
	payload, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ew.sendRaw(string(payload))
}

func (ew eventWriter) sendRaw(data string) {
	if _, err := ew.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := ew.flush.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream writes the answer token by token.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, g *generation) {
	setStreamHeaders(w.Header())
	events := eventWriter{w: w, flush: http.NewResponseController(w)}
	breakAfter := e.TakeBreak()
	if err := e.prefill(ctx, g); err != nil {
		panic(http.ErrAbortHandler)
	}
	if g.chat && !g.resumed {
		events.send(g.chunk("assistant", "", ""))
	}
	for i := g.from; i < g.tokens; i++ {
		if i > g.from {
			e.pace(ctx)
		}
		events.send(g.chunk("", g.token(i), ""))
		e.tokens.Add(1)
		if breakAfter > 0 && i-g.from+1 >= breakAfter {
			panic(http.ErrAbortHandler)
		}
	}
	e.finish(events, g)
}

func (e *Engine) pace(ctx context.Context) {
	if err := e.Delay(ctx, e.options.BetweenTokens); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) finish(events eventWriter, g *generation) {
	events.send(g.chunk("", "", g.finishReason()))
	if e.Get().Truncated {
		return
	}
	if g.request.StreamOptions.IncludeUsage {
		events.send(g.usageChunk())
	}
	events.sendRaw("[DONE]")
}
