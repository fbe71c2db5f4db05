package engine

import (
	"context"
	"encoding/json"
	"net/http"
)

// eventWriter writes server-sent events and flushes after each. A failed write
// aborts the handler.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
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
	if err := ew.control.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream writes a streamed answer, one event per token.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, g *generation) {
	setStreamHeaders(w.Header())
	events := eventWriter{w: w, control: http.NewResponseController(w)}
	breakAfter := e.ConsumeBreak()
	if err := e.prefill(ctx, g); err != nil {
		panic(http.ErrAbortHandler)
	}
	if g.chat && !g.resumed {
		events.send(g.chunk("assistant", "", ""))
	}
	for i := g.firstToken; i < g.tokens; i++ {
		if i > g.firstToken {
			e.pace(ctx)
		}
		events.send(g.chunk("", g.token(i), ""))
		e.tokens.Add(1)
		if breakAfter > 0 && i-g.firstToken+1 >= breakAfter {
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
