package dispatch

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// chunkKind tells what an event of a model's stream carries.
type chunkKind int

const (
	chunkOther   chunkKind = iota
	chunkRole              // who speaks, before any content
	chunkContent           // a token
	chunkFinish            // why one choice ended
	chunkUsage             // the counted tokens
	chunkError             // a failure that the engine reports
)

// chunk is one event of a model's stream.
type chunk struct {
	ID      json.RawMessage `json:"id"`
	Created json.RawMessage `json:"created"`
	Choices []chunkChoice   `json:"choices"`
	Usage   *engineUsage    `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta"`
	Text         json.RawMessage `json:"text"`
	FinishReason *string         `json:"finish_reason"`
}

type engineUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

func parseChunk(data string) (chunk, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return c, fmt.Errorf("decode stream event: %w", err)
	}
	return c, nil
}

// kind classifies the chunk. Only before the first content can a chunk be one
// that names the role and nothing else.
func (c *chunk) kind(contentSeen bool) chunkKind {
	switch {
	case len(c.Error) > 0 && string(c.Error) != "null":
		return chunkError
	case len(c.Choices) == 0 && c.Usage != nil:
		return chunkUsage
	case len(c.Choices) == 0:
		return chunkOther
	case c.Choices[0].FinishReason != nil:
		return chunkFinish
	case !contentSeen && onlyRole(c.Choices[0].Delta):
		return chunkRole
	}
	return chunkContent
}

// onlyRole reports whether a delta has no field with a value but the role.
func onlyRole(delta json.RawMessage) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(delta, &fields) != nil {
		return false
	}
	if _, ok := fields["role"]; !ok {
		return false
	}
	for name, value := range fields {
		if name != "role" && string(value) != `""` && string(value) != "null" {
			return false
		}
	}
	return true
}

// chain extends the digest of the contents before by this chunk's content.
func (c *chunk) chain(before uint64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strconv.FormatUint(before, 10))
	for _, choice := range c.Choices {
		_, _ = d.WriteString(strconv.Itoa(choice.Index))
		_, _ = d.Write(choice.Delta)
		_, _ = d.Write(choice.Text)
	}
	return d.Sum64()
}

// withIdentity gives the event the id and time of the stream's first event.
func withIdentity(data string, id, created json.RawMessage) string {
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal([]byte(data), &fields) != nil {
		return data
	}
	fields["id"] = id
	if len(created) > 0 {
		fields["created"] = created
	}
	changed, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return string(changed)
}
