package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// chunkKind classifies the events of a model's stream.
type chunkKind int

const (
	chunkOther   chunkKind = iota
	chunkRole              // the role alone, before any content
	chunkContent           // generated text
	chunkFinish            // the finish reason of one choice
	chunkUsage             // token counts
	chunkError             // an error reported by the engine
)

// chunk is one event of a model's stream.
type chunk struct {
	Choices []chunkChoice   `json:"choices"`
	Usage   *engineUsage    `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// streamIdentity holds the fields that identify the stream of a chunk.
type streamIdentity struct {
	ID      json.RawMessage `json:"id"`
	Created json.RawMessage `json:"created"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta"`
	Text         json.RawMessage `json:"text"`
	FinishReason *string         `json:"finish_reason"`
}

// finishes reports whether the choice names a finish reason. Some engines send an empty one
// before the last chunk.
func (c *chunkChoice) finishes() bool { return c.FinishReason != nil && *c.FinishReason != "" }

type engineUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

var errNoChunk = errors.New("the stream event is no chunk of an answer")

func parseChunk(data string) (chunk, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return c, fmt.Errorf("decode stream event: %w", err)
	}
	if c.Choices == nil && c.Usage == nil && len(c.Error) == 0 && !hasChunkField(data) {
		return c, errNoChunk
	}
	return c, nil
}

// hasChunkField reports whether the object has a field of a chunk, of whatever value.
func hasChunkField(data string) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal([]byte(data), &fields) != nil {
		return false
	}
	for _, name := range []string{"choices", "usage", "error"} {
		if _, ok := fields[name]; ok {
			return true
		}
	}
	return false
}

// kind classifies the chunk. A chunk that carries only the role counts as
// chunkRole only before the first content event.
func (c *chunk) kind(contentSeen bool) chunkKind {
	switch {
	case len(c.Error) > 0 && string(c.Error) != "null":
		return chunkError
	case len(c.Choices) == 0 && c.Usage != nil:
		return chunkUsage
	case len(c.Choices) == 0:
		return chunkOther
	case c.Choices[0].finishes():
		return chunkFinish
	case !contentSeen && hasOnlyRole(c.Choices[0].Delta):
		return chunkRole
	}
	return chunkContent
}

// hasOnlyRole reports whether the role is the delta's only non-empty field.
func hasOnlyRole(delta json.RawMessage) bool {
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

// chainDigest extends the digest of the preceding content by this chunk's
// content.
func (c *chunk) chainDigest(previous uint64) uint64 {
	var number [20]byte
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(strconv.AppendUint(number[:0], previous, 10))
	for _, choice := range c.Choices {
		_, _ = d.Write(strconv.AppendInt(number[:0], int64(choice.Index), 10))
		_, _ = d.Write(choice.Delta)
		_, _ = d.Write(choice.Text)
	}
	return d.Sum64()
}

func parseIdentity(data string) streamIdentity {
	var i streamIdentity
	_ = json.Unmarshal([]byte(data), &i) // parseChunk has already validated the JSON
	return i
}

// withIdentity replaces the event's id and creation time by those of the
// stream's first event.
func withIdentity(data string, first streamIdentity) string {
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal([]byte(data), &fields) != nil {
		return data
	}
	fields["id"] = first.ID
	if len(first.Created) > 0 {
		fields["created"] = first.Created
	}
	changed, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return string(changed)
}
