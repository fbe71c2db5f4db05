package timeline

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

var start = time.Date(2026, 5, 1, 4, 0, 0, 0, time.UTC)

// at returns the event e of an instance, ms milliseconds after start.
func at(ms int, instance string, e Event) Event {
	e.Time, e.Instance, e.Sequence = start.Add(time.Duration(ms)*time.Millisecond), instance, uint64(ms)
	return e
}

// sampleEvents returns the events of an answered request, of a refused request on
// another instance, and of neither.
func sampleEvents() []Event {
	a := []Event{
		at(0, "a", Event{Kind: RequestReceived, Request: "r1", Class: "fee", Tier: 1}),
		at(1, "a", Event{Kind: RequestQueued, Request: "r1"}),
		at(5, "a", Event{Kind: RequestAdmitted, Request: "r1"}),
		at(6, "a", Event{Kind: RecordInserted, Request: "r1", Record: "k1", Attempt: "x1"}),
		at(7, "a", Event{Kind: AttemptStarted, Request: "r1", Attempt: "x1", Server: "s1"}),
		at(8, "a", Event{Kind: AttemptSent, Request: "r1", Attempt: "x1", Server: "s1"}),
		at(20, "a", Event{Kind: AttemptAnswered, Attempt: "x1", Server: "s1"}),
		at(21, "a", Event{Kind: RequestAnswered, Request: "r1", Detail: "two words"}),
	}
	b := []Event{
		at(2, "b", Event{Kind: RequestReceived, Request: "r2", Class: "draft", Tier: 5}),
		at(3, "b", Event{Kind: RequestRefused, Request: "r2", Code: result.Shed, NotRun: true}),
		at(4, "b", Event{Kind: PeerUp, Peer: "a"}),
		at(9, "b", Event{Kind: BackendRan, Server: "s1", Attempt: "x1"}),
	}
	return Merge(a, b)
}

func TestRingOverwritesOldest(t *testing.T) {
	is := is.New(t)
	r := NewRing("a", 3, nil)
	for range 5 {
		r.Record(Event{Kind: PeerUp})
	}
	events, overwritten := r.Snapshot()
	is.Equal(overwritten, uint64(2))
	is.Equal(len(events), 3)
	is.Equal(events[0].Sequence, uint64(2))
	is.Equal(events[2].Sequence, uint64(4))
}

func TestJSONRoundTrip(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	is.NoErr(WriteJSON(&buf, sampleEvents()))
	back, err := ReadJSON(&buf)
	is.NoErr(err)
	is.Equal(back, sampleEvents())
}

func TestOfRequestIncludesAttemptsAndRecord(t *testing.T) {
	is := is.New(t)
	events := OfRequest(sampleEvents(), "r1")
	is.Equal(len(events), 9)
	is.Equal(events[7].Kind, AttemptAnswered) // has only the attempt id
	is.Equal(events[6].Instance, "b")         // recorded by another process
	is.Equal(len(OfRequest(sampleEvents(), "r9")), 0)
}

func TestStats(t *testing.T) {
	is := is.New(t)
	stats := Stats(sampleEvents())
	is.Equal(len(stats), 2)
	is.Equal(stats[0].Class, "fee")
	is.Equal(stats[0].Answered, 1)
	is.Equal(stats[0].Attempts, 1)
	is.True(stats[0].QueueP99 >= 4 && stats[0].QueueP99 < 4.1)
	is.True(stats[0].AnswerP50 >= 21 && stats[0].AnswerP50 < 21.1)
	is.Equal(stats[1].Codes, []CodeCount{{result.Shed, 1}})
}

func TestWriteChromePairsSpans(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	events := append(sampleEvents(), at(30, "a", Event{Kind: RequestAnswered, Request: "before the ring"}))
	is.NoErr(WriteChrome(&buf, events))
	var trace struct{ TraceEvents []traceEvent }
	is.NoErr(json.Unmarshal(buf.Bytes(), &trace))
	begun, instants := map[string]float64{}, 0
	for _, e := range trace.TraceEvents {
		switch e.Phase {
		case phaseBegin:
			begun[e.ID] = e.Timestamp
		case phaseEnd:
			from, ok := begun[e.ID]
			is.True(ok && e.Timestamp >= from) // every end follows its begin
			delete(begun, e.ID)
		case phaseInstant:
			instants++
		}
	}
	is.Equal(len(begun), 0)
	is.Equal(instants, len(events))
}

func TestWriteTextOmitsZeroFields(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	is.NoErr(WriteText(&buf, sampleEvents()[11:]))
	is.Equal(buf.String(), "04:00:00.021000 a            request.answered   request=r1 detail=\"two words\"\n")
}
