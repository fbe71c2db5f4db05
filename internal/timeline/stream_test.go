package timeline

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/eventstream"
)

// answeredEvent returns the end of a request whose last run has these ids.
func answeredEvent(ms int, server string, seen eventstream.Seen) Event {
	return at(ms, "a", Event{Kind: RequestAnswered, Request: "r", Server: server, Count: seen.Events,
		Detail: "first_event_ms=3 framing=chunks " + seen.String()})
}

// TestStreamsReadsWhatTheGatewayWrites guards against a format of the details that Streams
// no longer reads.
func TestStreamsReadsWhatTheGatewayWrites(t *testing.T) {
	is := is.New(t)
	hostile := `7" framing=length run_events=9 first_id="1" last_id="2" id_step=1 \`
	seen := eventstream.Seen{Events: 2, FirstID: "a b", LastID: hostile, LargestStep: 5}
	streams := Streams([]Event{
		at(1, "a", Event{Kind: AttemptSent, Request: "r", Server: "s1", Detail: `home=true resume_after="4 \"x\""`}),
		answeredEvent(2, "s1", seen),
	})
	is.Equal(len(streams), 1)
	run := streams[0].Runs[0]
	is.Equal(run.ResumeAfter, `4 "x"`)
	is.Equal(run.Framing, "chunks")
	is.Equal(eventstream.Seen{Events: run.Events, FirstID: run.FirstID, LastID: run.LastID, LargestStep: run.LargestStep}, seen)
	is.True(streams[0].Complete())
}

func TestStreamsOfSeveralAttempts(t *testing.T) {
	is := is.New(t)
	failed := Event{Kind: AttemptFailed, Request: "r", Server: "s1",
		Detail: "EOF framing=connection " + eventstream.Seen{Events: 2, FirstID: "1", LastID: "2", LargestStep: 1}.String()}
	streams := Streams([]Event{
		at(0, "a", Event{Kind: RequestReceived, Request: "r"}),
		at(0, "a", Event{Kind: RequestReceived, Request: "plain"}),
		at(1, "a", Event{Kind: AttemptSent, Request: "r", Server: "s1", Detail: `resume_after=""`}),
		at(2, "a", Event{Kind: AttemptUnframed, Request: "r", Server: "s1", State: "gone"}),
		at(3, "a", failed),
		at(3, "b", Event{Kind: AttemptFailed, Request: "r", Server: "s1", Detail: failed.Detail}), // another instance
		at(4, "a", Event{Kind: AttemptSent, Request: "r", Server: "s2", Detail: `resume_after="2"`}),
		at(5, "a", Event{Kind: RequestAnswered, Request: "plain", Server: "s1", Count: 1}),
		answeredEvent(6, "s2", eventstream.Seen{Events: 1, FirstID: "3", LastID: "3", LargestStep: 1}),
		at(7, "a", Event{Kind: AttemptUnframed, Request: "r", Server: "s2", State: SameProcess}), // after the end
	})
	is.Equal(len(streams), 2)
	is.Equal(streams[0].Delivered(), int64(3))
	is.Equal(len(streams[0].Runs), 2)
	is.Equal(streams[0].Runs[0].Check.State, "gone")
	is.Equal(streams[0].Runs[1].ResumeAfter, "2")
	is.Equal(streams[0].Runs[1].Check.State, SameProcess)
	is.Equal(streams[1].Instance, "b")
	is.True(!streams[1].Complete())
	is.True(!streams[1].Runs[0].Sent)
}
