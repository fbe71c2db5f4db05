package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// streamPart returns the lines of a request's explanation that are about its stream.
func streamPart(t *testing.T, logs string) string {
	t.Helper()
	is := is.New(t)
	h := New("r1")
	is.NoErr(h.AddLog(strings.NewReader(logs)))
	is.Equal(h.MalformedLines, 0)
	var out bytes.Buffer
	found, err := h.Write(&out)
	is.NoErr(err)
	is.True(found)
	_, part, _ := strings.Cut(out.String(), "stream from ")
	part, _, _ = strings.Cut(part, "state then:")
	return part
}

const (
	sentFirst = `{"time":"2026-12-06T05:00:00Z","instance":"edge-1","sequence":1,"kind":"attempt.sent","request":"r1","server":"s1","detail":"home=true repeat=false resume_after=\"\""}
`
	failedFirst = `{"time":"2026-12-06T05:00:03.1Z","instance":"edge-1","sequence":3,"kind":"attempt.failed","request":"r1","server":"s1","code":4005,"count":16,"detail":"the server is gone framing=connection run_events=16 first_id=\"1\" last_id=\"16\" id_step=1"}
`
	sentSecond = `{"time":"2026-12-06T05:00:03.2Z","instance":"edge-1","sequence":4,"kind":"attempt.sent","request":"r1","server":"s2","detail":"home=false repeat=true resume_after=\"16\""}
`
)

func TestStreamWithConfirmedUnframedEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(streamPart(t, sentFirst+
		`{"time":"2026-12-06T05:00:03Z","instance":"edge-1","sequence":2,"kind":"attempt.unframed","request":"r1","server":"s1","count":43,"state":"same_process","duration":2400000,"detail":"conclusion=confirmed framing=connection run_events=43 first_id=\"1\" last_id=\"43\" id_step=1"}
{"time":"2026-12-06T05:00:03.1Z","instance":"edge-1","sequence":3,"kind":"request.answered","request":"r1","server":"s1","count":43,"state":"200","detail":"first_event_ms=9 framing=connection run_events=43 first_id=\"1\" last_id=\"43\" id_step=1"}
`), `edge-1:
  attempt 1: server s1; framing connection; 43 events, ids 1 to 43, largest step 1; complete
    end without framing: at +3.000s the server was found same_process, 2.4ms after the end; concluded: confirmed
  to the caller: complete, 43 events
`)
}

func TestStreamOfLostServerResumedElsewhere(t *testing.T) {
	is := is.New(t)
	is.Equal(streamPart(t, sentFirst+
		`{"time":"2026-12-06T05:00:03Z","instance":"edge-1","sequence":2,"kind":"attempt.unframed","request":"r1","server":"s1","count":16,"state":"gone","duration":1000000,"detail":"conclusion=crashed framing=connection run_events=16 first_id=\"1\" last_id=\"16\" id_step=1"}
`+failedFirst+sentSecond+
		`{"time":"2026-12-06T05:00:05Z","instance":"edge-1","sequence":5,"kind":"request.answered","request":"r1","server":"s2","count":43,"state":"200","detail":"first_event_ms=9 framing=chunks run_events=27 first_id=\"17\" last_id=\"43\" id_step=1"}
`), `edge-1:
  attempt 1: server s1; framing connection; 16 events, ids 1 to 16, largest step 1; failed: result 4005 (stream_broken)
    end without framing: at +3.000s the server was found gone, 1ms after the end; concluded: crashed
  attempt 2: server s2 resumed after id 16; framing chunks; 27 events, ids 17 to 43, largest step 1; complete
  to the caller: complete, 43 events
`)
}

func TestStreamBrokenOffByGap(t *testing.T) {
	is := is.New(t)
	is.Equal(streamPart(t, sentFirst+
		`{"time":"2026-12-06T05:00:03.1Z","instance":"edge-1","sequence":3,"kind":"attempt.failed","request":"r1","server":"s1","code":4005,"count":2,"detail":"the server sent \"id: 5\" after event \"2\": an id is missing framing=chunks run_events=2 first_id=\"1\" last_id=\"2\" id_step=1"}
{"time":"2026-12-06T05:00:03.2Z","instance":"edge-1","sequence":4,"kind":"request.failed","request":"r1","code":4005,"count":2}
`), `edge-1:
  attempt 1: server s1; framing chunks; 2 events, ids 1 to 2, largest step 1; failed: result 4005 (stream_broken)
  to the caller: broken off after 2 events, result 4005 (stream_broken)
`)
}

func TestStreamBrokenOffToCaller(t *testing.T) {
	is := is.New(t)
	is.Equal(streamPart(t, sentFirst+failedFirst+sentSecond+
		`{"time":"2026-12-06T05:00:05Z","instance":"edge-1","sequence":5,"kind":"attempt.failed","request":"r1","server":"s2","code":4007,"count":16,"detail":"EOF"}
{"time":"2026-12-06T05:00:05.1Z","instance":"edge-1","sequence":6,"kind":"request.failed","request":"r1","code":4007,"count":16}
`), `edge-1:
  attempt 1: server s1; framing connection; 16 events, ids 1 to 16, largest step 1; failed: result 4005 (stream_broken)
  attempt 2: server s2 resumed after id 16; no stream; failed: result 4007 (backend_server_error)
  to the caller: broken off after 16 events, result 4007 (backend_server_error)
`)
}

func TestStreamConfirmedBeforeItsCheck(t *testing.T) {
	is := is.New(t)
	is.Equal(streamPart(t, sentFirst+
		`{"time":"2026-12-06T05:00:03Z","instance":"edge-1","sequence":2,"kind":"request.answered","request":"r1","server":"s1","count":2,"state":"200","detail":"framing=connection run_events=2 first_id=\"\" last_id=\"\" id_step=0"}
{"time":"2026-12-06T05:00:03.1Z","instance":"edge-1","sequence":3,"kind":"attempt.unframed","request":"r1","server":"s1","count":2,"state":"gone"}
`), `edge-1:
  attempt 1: server s1; framing connection; 2 events without ids; complete
    end without framing: at +3.100s the server was found gone, 0s after the end; the request had been answered already
  to the caller: complete, 2 events
`)
}

// TestStreamsOfOneIDAtOnce guards against attempts of two streams that pass for one.
func TestStreamsOfOneIDAtOnce(t *testing.T) {
	is := is.New(t)
	received := `{"time":"2026-12-06T04:59:59Z","instance":"edge-1","kind":"request.received","request":"r1"}
`
	is.True(strings.HasPrefix(streamPart(t, received+sentFirst+received+failedFirst), `edge-1:
  two requests with this id ran at once: their attempts cannot be told apart
`))
}

// TestPlainAnswerShowsItsCheck guards against an end without framing whose check has no age.
func TestPlainAnswerShowsItsCheck(t *testing.T) {
	is := is.New(t)
	h := New("r1")
	is.NoErr(h.AddLog(strings.NewReader(sentFirst + `{"time":"2026-12-06T05:00:03Z","instance":"edge-1","sequence":2,"kind":"attempt.unframed","request":"r1","server":"s1","state":"gone","duration":250000000}
`)))
	var out bytes.Buffer
	_, err := h.Write(&out)
	is.NoErr(err)
	is.True(strings.Contains(out.String(), "    +3.000s  edge-1  attempt.unframed  server s1  state gone  age 250ms\n"))
}

func TestPlainAnswerHasNoStream(t *testing.T) {
	is := is.New(t)
	is.Equal(streamPart(t, sentFirst+
		`{"time":"2026-12-06T05:00:03Z","instance":"edge-1","sequence":2,"kind":"request.answered","request":"r1","server":"s1","count":1,"state":"200"}
`), "")
}
