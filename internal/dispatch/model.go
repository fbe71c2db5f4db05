package dispatch

import (
	"encoding/json"
)

// modelRequest is what the router reads of a model request's body, and the
// body as it is sent.
type modelRequest struct {
	body       []byte
	stream     bool
	wantsUsage bool // the caller asked for the usage event
	choices    int  // answers asked for in one request; 0 and 1 mean one
}

type usageOption struct {
	IncludeUsage bool `json:"include_usage"`
}

// readModelRequest asks the engine for the usage of a stream. Fields that the
// router does not know are passed on. A body that can't be read is sent as it
// is, for the engine to refuse.
func readModelRequest(body []byte) modelRequest {
	m := modelRequest{body: body}
	var fields map[string]json.RawMessage // exact names, as engines read them
	if json.Unmarshal(body, &fields) != nil {
		return m
	}
	options := fields["stream_options"]
	var option usageOption
	_ = json.Unmarshal(fields["stream"], &m.stream)
	_ = json.Unmarshal(fields["n"], &m.choices)
	_ = json.Unmarshal(options, &option)
	m.wantsUsage = option.IncludeUsage
	if m.stream && !m.wantsUsage {
		m.body = askForUsage(body, options)
	}
	return m
}

// askForUsage sets stream_options.include_usage and keeps all other fields.
func askForUsage(body, options json.RawMessage) []byte {
	asked, err := setField(options, "include_usage", json.RawMessage("true"))
	if err != nil {
		return body
	}
	changed, err := setField(body, "stream_options", asked)
	if err != nil {
		return body
	}
	return changed
}

// setField sets one field of a JSON object; an empty or null object is a new one.
func setField(object json.RawMessage, name string, value json.RawMessage) (json.RawMessage, error) {
	fields := make(map[string]json.RawMessage)
	if len(object) > 0 {
		if err := json.Unmarshal(object, &fields); err != nil {
			return nil, err
		}
	}
	if fields == nil {
		fields = make(map[string]json.RawMessage)
	}
	fields[name] = value
	return json.Marshal(fields)
}
