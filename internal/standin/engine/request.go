package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	maxBodyBytes   = 8 << 20
	lowestPriority = 7 // of a request without a priority header
	bytesPerToken  = 4 // to estimate the length of a prompt
)

// completionRequest has the fields of a request body that the engine uses.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	StreamOptions       streamOptions   `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// generation is one answer to be generated.
type generation struct {
	request     completionRequest
	chat        bool
	attempt     string
	id          string // determines the output together with the prompt, on every engine
	priority    int
	firstToken  int // index of the first token to send
	resumed     bool
	tokens      int
	prompt      []byte
	promptCount int
}

func (e *Engine) readGeneration(w http.ResponseWriter, r *http.Request, chat bool) (*generation, []byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("read body: %w", err)
	}
	g := &generation{chat: chat, attempt: r.Header.Get(engineapi.AttemptHeader)}
	if err := json.Unmarshal(body, &g.request); err != nil {
		return nil, nil, fmt.Errorf("decode body: %w", err)
	}
	g.prompt = g.request.Prompt
	if chat {
		g.prompt = g.request.Messages
	}
	g.promptCount = 1 + len(g.prompt)/bytesPerToken
	g.id = r.Header.Get(engineapi.GenerationHeader)
	if g.id == "" {
		g.id = g.attempt
	}
	g.priority = headerInt(r, engineapi.PriorityHeader, lowestPriority)
	g.tokens = e.answerLength(g)
	if after := headerInt(r, engineapi.ResumeHeader, -1); after >= 0 && !e.options.IgnoresResume {
		g.firstToken = min(after, g.tokens)
		g.resumed = true
	}
	return g, body, nil
}

func headerInt(r *http.Request, name string, missing int) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return missing
	}
	return n
}

// answerLength returns the length of the answer in tokens. It depends on the
// prompt and is at most the limit that the request sets.
func (e *Engine) answerLength(g *generation) int {
	mean := e.options.AnswerTokens
	n := max(1, mean/2+int(xxhash.Sum64(g.prompt)%uint64(mean+1)))
	for _, limit := range []int{g.request.MaxTokens, g.request.MaxCompletionTokens} {
		if limit > 0 {
			n = min(n, limit)
		}
	}
	return n
}

var words = [...]string{
	"lane", "heat", "relay", "drum", "depot", "label", "the", "a", "is", "at",
	"before", "after", "entry", "seed", "time", "route", "clean", "and", "of", "to",
}

// token returns the text of the i-th token. It depends only on the prompt, the
// generation id and i.
func (g *generation) token(i int) string {
	d := xxhash.New()
	_, _ = d.Write(g.prompt)
	_, _ = d.WriteString(g.id)
	_, _ = d.WriteString(strconv.Itoa(i))
	return words[d.Sum64()%uint64(len(words))] + " "
}

func (g *generation) responseID() string {
	if g.chat {
		return "chatcmpl-" + g.id
	}
	return "cmpl-" + g.id
}

func (g *generation) finishReason() string {
	if g.tokens == g.request.MaxTokens || g.tokens == g.request.MaxCompletionTokens {
		return "length"
	}
	return "stop"
}
