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
		"keep-alive comments":                 roleEvent + ": ping\n\n" + pieces + finishEvent + ": ping\n\n" + doneEvent,
		"event fields":                        strings.ReplaceAll(roleEvent+pieces+finishEvent+doneEvent, "data: ", "event: message\ndata: "),
		"line ends of CR LF":                  strings.ReplaceAll(wholeStream, "\n", "\r\n"),
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

func errOf(o Outcome) error {
	if o.Err == nil {
		return nil
	}
	return o.Err
}
