package dispatch

import (
	"encoding/json"
	"errors"
)

var (
	errNotFinished = errors.New("the terminal event came before the finish of each choice")
	errAfterFinish = errors.New("the stream went on with a choice after its finish")
)

// choiceStates holds the choices that one attempt's stream has begun, by index: the data of the
// event that finished the choice, or an empty string.
type choiceStates map[int]string

// add records the choices of a chunk. It returns an error if one goes on after its finish. It
// reports whether the chunk is a copy of the event that finished its choices, without text:
// some engines repeat that event.
func (s choiceStates) add(c *chunk, data string) (repeated bool, err error) {
	if s.isRepeated(c, data) && !c.hasText() {
		return true, nil
	}
	for _, choice := range c.Choices {
		finished := s[choice.Index] != ""
		if finished && (choice.finishes() || choice.hasText()) {
			return false, errAfterFinish
		}
		if choice.finishes() {
			s[choice.Index] = data
		} else if !finished {
			s[choice.Index] = ""
		}
	}
	return false, nil
}

// isRepeated reports whether the data finished each choice of the chunk.
func (s choiceStates) isRepeated(c *chunk, data string) bool {
	for _, choice := range c.Choices {
		if s[choice.Index] != data {
			return false
		}
	}
	return len(c.Choices) > 0
}

// allFinished reports whether each choice of the chunk has finished.
func (s choiceStates) allFinished(c *chunk) bool {
	for _, choice := range c.Choices {
		if s[choice.Index] == "" {
			return false
		}
	}
	return true
}

// finished reports whether there are as many choices as requested, at least one, and each has
// finished. A requested number of 0 or less is not known; one choice is enough then.
func (s choiceStates) finished(requested int) bool {
	for _, finish := range s {
		if finish == "" {
			return false
		}
	}
	return len(s) >= max(requested, 1)
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
