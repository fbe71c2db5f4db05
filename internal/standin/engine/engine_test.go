package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

func start(t *testing.T, o Options) *Engine {
	t.Helper()
	o.Model = "m"
	e, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func post(t *testing.T, e *Engine, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

const streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}],"stream_options":{"include_usage":true}}`

func contents(stream string) []string {
	var texts []string
	for line := range strings.Lines(stream) {
		var c completion
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &c) != nil || len(c.Choices) == 0 {
			continue
		}
		if c.Choices[0].Delta.Content != "" {
			texts = append(texts, c.Choices[0].Delta.Content)
		}
	}
	return texts
}

func TestOutputIsDeterministic(t *testing.T) {
	is := is.New(t)
	a, b := start(t, Options{}), start(t, Options{})
	_, first, err := post(t, a, "/v1/chat/completions", streamBody, engineapi.GenerationHeader, "g1")
	is.NoErr(err)
	_, second, err := post(t, b, "/v1/chat/completions", streamBody, engineapi.GenerationHeader, "g1")
	is.NoErr(err)
	_, other, err := post(t, b, "/v1/chat/completions", streamBody, engineapi.GenerationHeader, "g2")
	is.NoErr(err)
	is.Equal(contents(first), contents(second))
	is.True(strings.Join(contents(first), "") != strings.Join(contents(other), ""))
	is.True(strings.HasSuffix(first, "data: [DONE]\n\n"))
	is.True(strings.Contains(first, `"usage"`))
}

func TestResumeStream(t *testing.T) {
	is := is.New(t)
	e := start(t, Options{})
	_, whole, err := post(t, e, "/v1/chat/completions", streamBody, engineapi.GenerationHeader, "g1")
	is.NoErr(err)
	response, rest, err := post(t, e, "/v1/chat/completions", streamBody, engineapi.GenerationHeader, "g1", engineapi.ResumeHeader, "3")
	is.NoErr(err)
	is.Equal(response.Header.Get(engineapi.ResumedHeader), "3")
	is.Equal(contents(rest), contents(whole)[3:])
}

func TestAnswerFaults(t *testing.T) {
	is := is.New(t)
	e := start(t, Options{})
	e.Set(fault.Settings{BreakAfter: 2, MaxBreaks: 1})
	_, cut, err := post(t, e, "/v1/chat/completions", streamBody)
	is.True(err != nil) // the connection was closed early
	is.Equal(len(contents(cut)), 2)
	_, whole, err := post(t, e, "/v1/chat/completions", streamBody)
	is.NoErr(err)
	is.True(strings.Contains(whole, "[DONE]"))
	e.Set(fault.Settings{Crossed: true})
	response, _, err := post(t, e, "/v1/chat/completions", streamBody, engineapi.AttemptHeader, "a1")
	is.NoErr(err)
	is.True(response.Header.Get(engineapi.AttemptHeader) != "a1")
	e.Set(fault.Settings{Poison: "hi"})
	_, _, err = post(t, e, "/v1/chat/completions", streamBody)
	is.True(err != nil)
	is.Equal(e.Epoch(), uint64(2))
}

func TestRefuseConnections(t *testing.T) {
	is := is.New(t)
	e := start(t, Options{})
	is.NoErr(e.Refuse(true))
	e.Crash()
	_, _, err := post(t, e, "/v1/chat/completions", streamBody)
	is.True(err != nil)
	is.NoErr(e.Refuse(false))
	_, _, err = post(t, e, "/v1/chat/completions", streamBody)
	is.NoErr(err)
}

func TestRecordsCallerKeysAndColdViolations(t *testing.T) {
	is := is.New(t)
	ring := timeline.NewRing("engine", 0, nil)
	e := start(t, Options{Recorder: ring, ColdLimit: 1, FirstToken: 20 * time.Millisecond})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = post(t, e, "/v1/chat/completions", streamBody, "Authorization", "Bearer secret")
	}()
	_, _, err := post(t, e, "/v1/chat/completions?api_key=secret", streamBody)
	is.NoErr(err)
	<-done
	events, _ := ring.Snapshot()
	keys := 0
	for _, event := range events {
		if event.Kind == timeline.BackendReceived && event.KeyDigest != "" {
			keys++
		}
	}
	is.Equal(keys, 2)
	_, exceeded := e.cold.received(e.options.Slots + 1)
	is.True(exceeded)
}

func TestStaleFencingToken(t *testing.T) {
	for _, fences := range []bool{true, false} {
		is := is.New(t)
		e := start(t, Options{Fences: fences})
		for _, token := range []uint64{2, 1} {
			body, err := json.Marshal(engineapi.Order{ID: "o", Token: token, Kind: engineapi.LoadModel, Model: "n"})
			is.NoErr(err)
			response, _, err := post(t, e, engineapi.OrderPath, string(bytes.TrimSpace(body)))
			is.NoErr(err)
			is.Equal(response.StatusCode == http.StatusOK, token == 2 || !fences)
		}
	}
}

func TestSlotsByPriority(t *testing.T) {
	is := is.New(t)
	s := newSlots(0)
	low, high := s.enqueue(5), s.enqueue(1)
	s.release()
	select {
	case <-high.granted:
	default:
		t.Fatal("the slot was not granted to priority 1 before priority 5")
	}
	s.abandon(low)
	is.Equal(s.waiting(), 0)
}
