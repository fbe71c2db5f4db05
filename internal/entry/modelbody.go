package entry

import (
	"encoding/json"
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// bytesPerToken estimates prompt lengths before an engine has counted them.
const bytesPerToken = 4

// modelBody is what the router reads of an OpenAI request. All other fields
// pass through unchanged.
type modelBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

func parseModelBody(body []byte) (modelBody, error) {
	var m modelBody
	if err := json.Unmarshal(body, &m); err != nil {
		return modelBody{}, fmt.Errorf("the body is not a JSON request: %w", err)
	}
	if m.Model == "" {
		return modelBody{}, fmt.Errorf("field %q is missing", "model")
	}
	if len(m.Messages) == 0 && len(m.Prompt) == 0 {
		return modelBody{}, fmt.Errorf("field %q or %q is missing", "messages", "prompt")
	}
	return m, nil
}

// promptText returns the raw JSON of the prompt, which prefix digests cover.
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
