package dispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const (
	roleEvent   = `data: {"choices":[{"index":0,"delta":{"role":"assistant","content":""}}],"id":"x"}` + "\n\n"
	finishEvent = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"id":"x"}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

// contentEvents returns the content events from one number to another.
func contentEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"piece%d\"}}],\"id\":\"x\"}\n\n", i)
	}
	return b.String()
}

var wholeStream = roleEvent + contentEvents(1, 5) + finishEvent + doneEvent

// rawAnswer is an answer of a raw server without framing. The connection ends after it.
type rawAnswer struct {
	resumed int // ResumedHeader; 0 means none
	epoch   int // EpochHeader; 0 means none
	body    string
}

// startRawServer starts a server that answers each connection's first request with the
// next answer, and then with the last one again.
func startRawServer(t *testing.T, answers ...rawAnswer) *targetList {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serveRaw(c, answers[min(n, len(answers)-1)])
		}
	}()
	return &targetList{targets: []traffic.Target{{Server: "raw", Address: l.Addr().String()}}}
}

func serveRaw(c net.Conn, answer rawAnswer) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == engineapi.LoadPath {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"epoch\":1}")
		return
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" +
		engineapi.AttemptHeader + ": " + r.Header.Get(engineapi.AttemptHeader) + "\r\n"
	if answer.resumed > 0 {
		head += engineapi.ResumedHeader + ": " + strconv.Itoa(answer.resumed) + "\r\n"
	}
	if answer.epoch > 0 {
		head += engineapi.EpochHeader + ": " + strconv.Itoa(answer.epoch) + "\r\n"
	}
	_, _ = io.WriteString(c, head+"\r\n"+answer.body)
}

func TestUnframedStreamIsWholeWithTerminalEvent(t *testing.T) {
	is := is.New(t)
	out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, startRawServer(t, rawAnswer{body: wholeStream})))
	is.True(out.Err == nil)
	is.Equal(w.Body.String(), wholeStream)
}

// testBrokenStreams checks for answers of a raw server that the caller gets an error
// event, no terminal event, and nothing of what is marked as odd.
func testBrokenStreams(t *testing.T, bodies map[string]string) {
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, w := do(t, newDispatcher(t, Options{MaxAttempts: 1}), modelCall(streamBody, startRawServer(t, rawAnswer{body: body})))
			is.True(out.Err != nil)
			is.Equal(out.Err.Code, result.StreamBroken)
			is.True(!strings.Contains(w.Body.String(), doneEvent))
			is.True(!strings.Contains(w.Body.String(), "odd"))
			is.True(strings.Contains(w.Body.String(), `"type":"stream_broken"`))
		})
	}
}

func TestUnframedStreamThatIsCutIsBroken(t *testing.T) {
	pieces := roleEvent + contentEvents(1, 3)
	testBrokenStreams(t, map[string]string{
		"no event":                      "",
		"end between events":            pieces,
		"end inside an event":           pieces + `data: {"odd":1,"choices":[{"delta":{"content":"odd"}}]}`,
		"end before the blank line":     pieces + `data: {"odd":1,"choices":[{"delta":{"content":"odd"}}]}` + "\n",
		"end inside the terminal event": pieces + finishEvent + "data: [DONE]\n",
	})
}

func TestBytesThatAreNoEventBreakStream(t *testing.T) {
	pieces, rest := roleEvent+contentEvents(1, 3), contentEvents(4, 5)+finishEvent+doneEvent
	testBrokenStreams(t, map[string]string{
		"bytes before a field":    pieces + "odd" + rest,
		"head of a second answer": pieces + "HTTP/1.1 200 OK\r\nOdd: 1\r\n\r\n" + rest,
		"binary bytes":            pieces + "\x00\xff\x17\n\n" + rest,
		"data that is no object":  pieces + "data: null\n\n" + rest,
		"object that is no chunk": pieces + `data: {"odd":1}` + "\n\n" + rest,
		"two chunks in one event": pieces + `data: {"choices":[]}{"odd":1,"choices":[]}` + "\n\n" + rest,
	})
}

func TestStreamWithoutFinishOfEachChoiceIsBroken(t *testing.T) {
	pieces := roleEvent + contentEvents(1, 3)
	testBrokenStreams(t, map[string]string{
		"terminal event before a finish": pieces + doneEvent,
		"terminal event alone":           doneEvent,
		"no content and no finish":       roleEvent + doneEvent,
		"choice that does not finish":    pieces + `data: {"choices":[{"index":1,"delta":{"content":"other"}}]}` + "\n\n" + finishEvent + doneEvent,
	})
}

func TestStreamThatGoesOnAfterFinishIsBroken(t *testing.T) {
	pieces := roleEvent + contentEvents(1, 3) + finishEvent
	testBrokenStreams(t, map[string]string{
		"content":       pieces + strings.ReplaceAll(contentEvents(4, 4), "piece", "odd") + doneEvent,
		"second finish": pieces + strings.ReplaceAll(finishEvent, `"x"`, `"odd"`) + doneEvent,
	})
}

func TestSoundStreamOfSeveralChoicesIsWhole(t *testing.T) {
	is := is.New(t)
	other := strings.NewReplacer(`"index":0`, `"index":1`)
	body := roleEvent + other.Replace(roleEvent) + contentEvents(1, 2) + other.Replace(contentEvents(1, 3)) +
		finishEvent + other.Replace(contentEvents(4, 4)+finishEvent) + `data: {"choices":[{"index":0,"delta":{"content":""}}],"id":"x"}` + "\n\n" + doneEvent
	call := modelCall(strings.Replace(streamBody, "{", `{"n":2,`, 1), startRawServer(t, rawAnswer{body: body}))
	out, w := do(t, newDispatcher(t, Options{}), call)
	is.True(out.Err == nil)
	is.Equal(w.Body.String(), body)
}

func TestEventsAfterTerminalEventAreDropped(t *testing.T) {
	for _, more := range []string{contentEvents(6, 7), wholeStream, doneEvent, "HTTP/1.1 200 OK\r\n\r\nodd"} {
		is := is.New(t)
		out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, startRawServer(t, rawAnswer{body: wholeStream + more})))
		is.True(out.Err == nil)
		is.Equal(w.Body.String(), wholeStream)
	}
}
