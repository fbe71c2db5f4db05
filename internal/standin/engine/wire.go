package engine

import (
	"net/http"
	"time"
)

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// completion is a whole answer or one chunk of a streamed answer.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func (e *Engine) writeError(w http.ResponseWriter, status int, text string) {
	e.writeJSON(w, status, errorBody{Error: errorDetail{Message: text, Type: "engine_error"}})
}

func (g *generation) usage() *usage {
	return &usage{PromptTokens: g.promptCount, CompletionTokens: g.tokens, TotalTokens: g.promptCount + g.tokens}
}

func (g *generation) wholeAnswer(text string) completion {
	reason := g.finishReason()
	c := g.envelope("chat.completion", "text_completion")
	c.Usage = g.usage()
	c.Choices = []choice{{FinishReason: &reason}}
	if g.chat {
		c.Choices[0].Message = &message{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	return c
}

func (g *generation) envelope(chatObject, textObject string) completion {
	object := textObject
	if g.chat {
		object = chatObject
	}
	return completion{
		ID: g.responseID(), Object: object, Created: time.Now().Unix(),
		Model: g.request.Model, Choices: []choice{},
	}
}

// chunk returns one event of a stream. It carries a role, a text or a finish
// reason; the other arguments are empty.
func (g *generation) chunk(role, text, reason string) completion {
	c := g.envelope("chat.completion.chunk", "text_completion")
	part := choice{}
	if g.chat {
		part.Delta = &delta{Role: role, Content: text}
	} else {
		part.Text = &text
	}
	if reason != "" {
		part.FinishReason = &reason
	}
	c.Choices = append(c.Choices, part)
	return c
}

func (g *generation) usageChunk() completion {
	c := g.envelope("chat.completion.chunk", "text_completion")
	c.Usage = g.usage()
	return c
}

func setStreamHeaders(h http.Header) {
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
}
