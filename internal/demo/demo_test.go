package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

func start(t *testing.T) *Demo {
	t.Helper()
	return startWith(t, Options{})
}

func startWith(t *testing.T, o Options) *Demo {
	t.Helper()
	d, err := Start(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

// call sends one request with a key and returns the response and its body. Header lists
// names and values of additional headers in turn.
func call(t *testing.T, method, url, key, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer, string(text)
}

const chat = `{"model":"label-2b","stream":true,"messages":[{"role":"user","content":"what does label 3 mean"}]}`

func TestStreamThroughEachInstance(t *testing.T) {
	is := is.New(t)
	d := start(t)
	for _, base := range d.Description.Callers {
		answer, text := call(t, http.MethodPost, base+"/v1/chat/completions", d.Description.Keys["setubal-depot"], chat)
		is.Equal(answer.StatusCode, http.StatusOK)
		is.True(strings.HasSuffix(strings.TrimSpace(text), "data: [DONE]"))
		is.True(strings.Count(text, "data: ") > 5)
	}
}

func TestPlainServiceThroughEachInstance(t *testing.T) {
	is := is.New(t)
	d := start(t)
	for _, base := range d.Description.Callers {
		answer, text := call(t, http.MethodGet, base+"/services/entries/run", d.Description.Keys["suva-swimming"], "")
		is.Equal(answer.StatusCode, http.StatusOK)
		is.True(strings.Contains(text, `"run"`))
	}
}

func TestUnknownKey(t *testing.T) {
	is := is.New(t)
	d := start(t)
	answer, text := call(t, http.MethodPost, d.Description.Callers[0]+"/v1/chat/completions", "wrong", chat)
	is.Equal(answer.StatusCode, http.StatusUnauthorized)
	is.Equal(answer.Header.Get(entry.ResultHeader), "2002")
	is.Equal(answer.Header.Get(entry.NotRunHeader), "true")
	var body struct {
		Error struct {
			Code   result.Code `json:"code"`
			NotRun bool        `json:"not_run"`
		} `json:"error"`
	}
	is.NoErr(json.Unmarshal([]byte(text), &body))
	is.Equal(body.Error.Code, result.KeyUnknown)
	is.True(body.Error.NotRun)
}

func TestDescriptionJSON(t *testing.T) {
	is := is.New(t)
	d := start(t)
	var out bytes.Buffer
	is.NoErr(d.describe(Options{JSON: true, Out: &out}))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	var back Description
	is.NoErr(json.Unmarshal(out.Bytes(), &back))
	is.Equal(len(back.Callers), 2)
	is.Equal(len(back.Keys), 4)
}

// The description lists classes and models for callers to choose from, so every
// combination must be accepted.
func TestAllClassesOnAllModels(t *testing.T) {
	is := is.New(t)
	d := start(t)
	for _, model := range d.Description.Models {
		for _, class := range d.Description.Classes {
			body := strings.Replace(chat, "label-2b", model, 1)
			answer, _ := call(t, http.MethodPost, d.Description.Callers[0]+"/v1/chat/completions", d.Description.Keys["setubal-depot"], body,
				entry.ClassHeader, class, entry.IdempotencyHeader, model+class)
			is.Equal(answer.StatusCode, http.StatusOK)
		}
	}
}
