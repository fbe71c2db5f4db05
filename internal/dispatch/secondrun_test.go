package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A first run ends after three pieces. The second attempt's answer must not be joined to
// it unless it is its continuation.
func TestSecondRunIsNotJoined(t *testing.T) {
	first := rawAnswer{body: roleEvent + contentEvents(1, 3)}
	finished := rawAnswer{body: roleEvent + contentEvents(1, 3) + finishEvent}
	for name, answers := range map[string][2]rawAnswer{
		"replay that differs":             {first, {body: roleEvent + contentEvents(2, 6) + finishEvent + doneEvent}},
		"replay that is shorter":          {first, {body: roleEvent + contentEvents(1, 2) + finishEvent + doneEvent}},
		"replay without content":          {first, {body: roleEvent + finishEvent + doneEvent}},
		"replay with a terminal event":    {first, {body: doneEvent}},
		"replay that is longer":           {finished, {body: roleEvent + contentEvents(1, 4) + finishEvent + doneEvent}},
		"resumed after another piece":     {first, {resumed: 2, body: contentEvents(3, 5) + finishEvent + doneEvent}},
		"resumed and begun again":         {first, {resumed: 3, body: wholeStream}},
		"resumed after the finish":        {finished, {resumed: 3, body: contentEvents(4, 4) + finishEvent + doneEvent}},
		"resumed without finish":          {first, {resumed: 3, body: contentEvents(4, 5) + doneEvent}},
		"resumed with a terminal event":   {first, {resumed: 3, body: doneEvent}},
		"resumed, end between two events": {first, {resumed: 3, body: contentEvents(4, 5)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, w := do(t, newDispatcher(t, Options{MaxAttempts: 2}), modelCall(streamBody, startRawServer(t, answers[0], answers[1])))
			is.True(out.Err != nil)
			got := w.Body.String()
			is.True(!strings.Contains(got, doneEvent))
			is.True(strings.Contains(got, `"type":"stream_broken"`))
			for i := 1; i <= 6; i++ {
				is.True(strings.Count(got, fmt.Sprintf("piece%d", i)) <= 1) // no piece twice
			}
			finish, lastPiece := strings.Index(got, "finish_reason"), strings.LastIndex(got, "piece")
			is.True(finish < 0 || finish > lastPiece)
			is.True(finish < 0 || answers[0] == finished) // the finish of another run
		})
	}
}

func TestSecondRunContinues(t *testing.T) {
	for name, answers := range map[string][]rawAnswer{
		"replay":               {{body: roleEvent + contentEvents(1, 3)}, {body: wholeStream}},
		"resumed":              {{body: roleEvent + contentEvents(1, 3)}, {resumed: 3, body: contentEvents(4, 5) + finishEvent + doneEvent}},
		"resumed after finish": {{body: roleEvent + contentEvents(1, 5) + finishEvent}, {resumed: 5, body: finishEvent + doneEvent}},
		"replay after finish":  {{body: roleEvent + contentEvents(1, 5) + finishEvent}, {body: wholeStream}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, startRawServer(t, answers...)))
			is.True(out.Err == nil)
			is.Equal(out.Attempts, 2)
			is.Equal(w.Body.String(), wholeStream)
		})
	}
}
