package dispatch

import (
	"encoding/json"
)

// modelRequest holds the fields that the router reads from a model request's
// body, and the body to send.
type modelRequest struct {
	body         []byte
	stream       bool
	includeUsage bool // the caller requested the usage event
	choices      int  // number of choices requested; 0 means one, or not known
}

type usageOption struct {
	IncludeUsage bool `json:"include_usage"`
}

// parseModelRequest parses a body and, for a stream, makes it request the usage
// event. Unknown fields are kept. A body that is not valid JSON is sent
// unchanged; rejecting it is up to the engine.
func parseModelRequest(body []byte) modelRequest {
	m := modelRequest{body: body}
	var fields map[string]json.RawMessage // a map matches names by exact case, as engines do
	if json.Unmarshal(body, &fields) != nil {
		return m
	}
	options := fields["stream_options"]
	var option usageOption
	_ = json.Unmarshal(fields["stream"], &m.stream)
	_ = json.Unmarshal(fields["n"], &m.choices)
	_ = json.Unmarshal(options, &option)
	m.includeUsage = option.IncludeUsage
	if m.stream && !m.includeUsage {
		m.body = requestUsage(body, options)
	}
	return m
}

// requestUsage sets stream_options.include_usage and keeps all other fields.
func requestUsage(body, options json.RawMessage) []byte {
	updated, err := setField(options, "include_usage", json.RawMessage("true"))
	if err != nil {
		return body
	}
	changed, err := setField(body, "stream_options", updated)
	if err != nil {
		return body
	}
	return changed
}

// setField sets one field of a JSON object. An empty or null object counts as
// an object without fields.
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
