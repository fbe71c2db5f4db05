package entry

import (
	"encoding/json"
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// bytesPerToken is used to estimate prompt lengths before an engine counts tokens.
const bytesPerToken = 4

// modelBody holds the fields of an OpenAI request that the router reads. The body
// itself is sent to the engine unchanged.
type modelBody struct {
	Model    string
	Stream   bool
	Messages json.RawMessage
	Prompt   json.RawMessage
}

// parseModelBody matches field names by exact case. Decoding into a struct would
// also match "MODEL" as "model", which an engine does not.
func parseModelBody(body []byte) (modelBody, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return modelBody{}, fmt.Errorf("the body is not a JSON request: %w", err)
	}
	m := modelBody{Messages: fields["messages"], Prompt: fields["prompt"]}
	if err := readField(fields, "model", &m.Model); err != nil {
		return modelBody{}, err
	}
	if err := readField(fields, "stream", &m.Stream); err != nil {
		return modelBody{}, err
	}
	if m.Model == "" {
		return modelBody{}, fmt.Errorf("field %q is missing", "model")
	}
	if len(m.Messages) == 0 && len(m.Prompt) == 0 {
		return modelBody{}, fmt.Errorf("field %q or %q is missing", "messages", "prompt")
	}
	return m, nil
}

// readField decodes a field into its target; an absent field is no error.
func readField[T any](fields map[string]json.RawMessage, name string, into *T) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}

// promptText returns the raw JSON of the prompt, the input of the prefix digests.
func (m modelBody) promptText() []byte {
	if len(m.Messages) > 0 {
		return m.Messages
	}
	return m.Prompt
}

func (m modelBody) prefixes() []uint64 {
	return engineapi.Prefixes(m.promptText())
}

func (m modelBody) inputTokens() int {
	return len(m.promptText())/bytesPerToken + 1
}
