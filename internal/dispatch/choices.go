package dispatch

import (
	"encoding/json"
	"errors"
)

var (
	errNotFinished = errors.New("the terminal event came before the finish of each choice")
	errAfterFinish = errors.New("the stream went on with a choice after its finish")
)

// choiceStates holds which choices one attempt's stream has begun and finished, by index.
type choiceStates map[int]bool

// add records the choices of a chunk. It returns an error if one goes on after its finish.
func (s choiceStates) add(c *chunk) error {
	for _, choice := range c.Choices {
		finishes := choice.finishes()
		if s[choice.Index] && (finishes || choice.hasText()) {
			return errAfterFinish
		}
		s[choice.Index] = s[choice.Index] || finishes
	}
	return nil
}

// allFinished reports whether each choice of the chunk has finished.
func (s choiceStates) allFinished(c *chunk) bool {
	for _, choice := range c.Choices {
		if !s[choice.Index] {
			return false
		}
	}
	return true
}

// finished reports whether there is a choice and each has finished.
func (s choiceStates) finished() bool {
	for _, finished := range s {
		if !finished {
			return false
		}
	}
	return len(s) > 0
}

// hasText reports whether a choice of the chunk carries text.
func (c *chunk) hasText() bool {
	for i := range c.Choices {
		if c.Choices[i].hasText() {
			return true
		}
	}
	return false
}

// hasText reports whether the choice carries more than its role and empty fields.
func (c *chunkChoice) hasText() bool {
	if !isEmptyValue(c.Text) {
		return true
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(c.Delta, &fields) != nil {
		return !isEmptyValue(c.Delta)
	}
	for name, value := range fields {
		if name != "role" && !isEmptyValue(value) {
			return true
		}
	}
	return false
}

func isEmptyValue(value json.RawMessage) bool {
	switch string(value) {
	case "", `""`, "null", "[]", "{}":
		return true
	}
	return false
}
