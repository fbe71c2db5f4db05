package dispatch

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSoundStreamsOfOtherEnginesAreNotBroken guards against streams that are broken off although
// the engine sent all of them.
func TestSoundStreamsOfOtherEnginesAreNotBroken(t *testing.T) {
	pieces := contentEvents(1, 3)
	for name, body := range map[string]string{
		"empty finish reason before the last": strings.ReplaceAll(roleEvent+pieces, `"index":0,`, `"index":0,"finish_reason":"",`) + finishEvent + doneEvent,
		"same id on each event":               roleEvent + strings.ReplaceAll(pieces, "data: ", "id: 1\ndata: ") + finishEvent + doneEvent,
		"empty ids":                           roleEvent + strings.ReplaceAll(pieces, "data: ", "id\ndata: ") + finishEvent + doneEvent,
		"keep-alive comments":                 roleEvent + ": ping\n\n" + pieces + finishEvent + ": ping\n\n" + doneEvent,
		"event fields":                        strings.ReplaceAll(roleEvent+pieces+finishEvent+doneEvent, "data: ", "event: message\ndata: "),
		"line ends of CR LF":                  strings.ReplaceAll(wholeStream, "\n", "\r\n"),
		"choices of null":                     roleEvent + pieces + `data: {"id":"x","choices":null,"usage":null}` + "\n\n" + finishEvent + doneEvent,
		"finish reason repeated":              roleEvent + pieces + finishEvent + finishEvent + doneEvent,
		"filter results after the finish":     roleEvent + pieces + finishEvent + `data: {"choices":[{"index":0,"finish_reason":null,"content_filter_results":{"x":1},"content_filter_offsets":{"y":2}}]}` + "\n\n" + doneEvent,
		"usage after the finish":              roleEvent + pieces + finishEvent + `data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":3}}` + "\n\n" + doneEvent,
		"finish with the last piece":          roleEvent + contentEvents(1, 2) + `data: {"choices":[{"index":0,"delta":{"content":"z"},"finish_reason":"stop"}]}` + "\n\n" + doneEvent,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, w := do(t, newDispatcher(t, Options{MaxAttempts: 1}), modelCall(streamBody, startRawServer(t, rawAnswer{body: body})))
			is.NoErr(errOf(out))
			is.True(strings.HasSuffix(w.Body.String(), doneEvent))
		})
	}
}

// TestRoleAfterFinishIsPassedOn guards against streams that are broken off, or lose the last
// event, because the engine names the role again with its usage.
func TestRoleAfterFinishIsPassedOn(t *testing.T) {
	usage := `data: {"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}],"usage":{"completion_tokens":5},"id":"x"}` + "\n\n"
	cut := rawAnswer{body: roleEvent + contentEvents(1, 3)}
	for name, answers := range map[string][]rawAnswer{
		"content":    {{body: roleEvent + contentEvents(1, 5) + finishEvent + usage + doneEvent}},
		"no content": {{body: roleEvent + finishEvent + usage + doneEvent}},
		"resumed":    {cut, {resumed: 3, body: contentEvents(4, 5) + finishEvent + usage + doneEvent}},
		"replay":     {cut, {body: roleEvent + contentEvents(1, 5) + finishEvent + usage + doneEvent}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := modelCall(streamBody, startRawServer(t, answers...))
			out, w := do(t, newDispatcher(t, Options{MaxAttempts: len(answers)}), call)
			is.NoErr(errOf(out))
			is.Equal(strings.Count(w.Body.String(), `"usage"`), 1)
			is.Equal(strings.Count(w.Body.String(), `"stop"`), 1)
		})
	}
}

func errOf(o Outcome) error {
	if o.Err == nil {
		return nil
	}
	return o.Err
}

// TestChunkWithoutTextAfterDeliveredFinishIsPassedOn guards against a continuation that is
// broken off although no text follows the finish that the caller has.
func TestChunkWithoutTextAfterDeliveredFinishIsPassedOn(t *testing.T) {
	is := is.New(t)
	results := `data: {"choices":[{"index":0,"content_filter_results":{"x":1}}],"id":"x"}` + "\n\n"
	first := rawAnswer{body: roleEvent + contentEvents(1, 5) + finishEvent}
	second := rawAnswer{resumed: 5, body: results + finishEvent + results + doneEvent}
	out, w := do(t, newDispatcher(t, Options{MaxAttempts: 2}), modelCall(streamBody, startRawServer(t, first, second)))
	is.NoErr(errOf(out))
	is.Equal(strings.Count(w.Body.String(), "content_filter_results"), 2)
	is.Equal(strings.Count(w.Body.String(), `"stop"`), 1)
	is.Equal(out.Usage.OutputTokens, int64(5))
}

// TestRepeatedFinishIsDeliveredOnce guards against a caller that gets two finish events, and
// against a repeated one that hides text or another finish reason.
func TestRepeatedFinishIsDeliveredOnce(t *testing.T) {
	pieces := roleEvent + contentEvents(1, 3)
	withText := strings.ReplaceAll(finishEvent, `"delta":{}`, `"delta":{"content":"z"}`)
	for name, c := range map[string]struct {
		repeated string
		broken   bool
	}{
		"identical":      {repeated: finishEvent + finishEvent + finishEvent},
		"with text":      {repeated: withText + withText, broken: true},
		"another reason": {repeated: finishEvent + strings.ReplaceAll(finishEvent, `"stop"`, `"length"`), broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := modelCall(streamBody, startRawServer(t, rawAnswer{body: pieces + c.repeated + doneEvent}))
			out, w := do(t, newDispatcher(t, Options{MaxAttempts: 1}), call)
			is.Equal(out.Err != nil, c.broken)
			is.Equal(strings.Count(w.Body.String(), "finish_reason"), 1)
		})
	}
}

// TestStreamWithoutAllChoicesIsBroken guards against a stream that ends as complete although a
// choice that the caller asked for never began.
func TestStreamWithoutAllChoicesIsBroken(t *testing.T) {
	is := is.New(t)
	body := strings.Replace(streamBody, `{`, `{"n":2,`, 1)
	out, w := do(t, newDispatcher(t, Options{MaxAttempts: 1}), modelCall(body, startRawServer(t, rawAnswer{body: wholeStream})))
	is.True(out.Err != nil)
	is.True(!strings.Contains(w.Body.String(), doneEvent))
}

// TestNumberOfChoicesThatIsNotKnownBreaksNoStream guards against streams that are broken off
// because the number of choices was misread.
func TestNumberOfChoicesThatIsNotKnownBreaksNoStream(t *testing.T) {
	other := strings.NewReplacer(`"index":0`, `"index":1`)
	more := roleEvent + contentEvents(1, 2) + other.Replace(contentEvents(1, 2)) + finishEvent + other.Replace(finishEvent) + doneEvent
	for n, stream := range map[string]string{"0": wholeStream, "-3": wholeStream, "2.5": wholeStream, `"2"`: wholeStream, "null": wholeStream, "1": more} {
		is := is.New(t)
		body := strings.Replace(streamBody, `{`, `{"n":`+n+`,`, 1)
		out, _ := do(t, newDispatcher(t, Options{MaxAttempts: 1}), modelCall(body, startRawServer(t, rawAnswer{body: stream})))
		is.NoErr(errOf(out))
	}
}
