package demo

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const longChat = `{"model":"roster-8b","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"the whole roster"}]}`

// openStream sends a streamed request and returns the response after its first line.
func openStream(t *testing.T, base, key, body string) (*http.Response, *bufio.Reader) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = answer.Body.Close() })
	lines := bufio.NewReader(answer.Body)
	if _, err := lines.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	return answer, lines
}

func readRest(lines *bufio.Reader) string {
	var b strings.Builder
	_, _ = lines.WriteTo(&b)
	return b.String()
}

// Guards against a withdrawn key that still works: open streams must end within 2 s and
// new requests must be refused on all instances.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	d := startWith(t, Options{BetweenTokens: 20 * time.Millisecond, AnswerTokens: 500})
	key := d.Description.Keys["suva-swimming"]
	_, lines := openStream(t, d.Description.Callers[0], key, longChat)
	withdrawn := time.Now()
	ended := make(chan time.Duration, 1)
	var text string
	go func() {
		text = readRest(lines)
		ended <- time.Since(withdrawn)
	}()
	_, err := d.instances[1].Editor().WithdrawKey(context.Background(), config.DigestKey(key))
	is.NoErr(err)
	is.True(<-ended < 2*time.Second)
	is.True(strings.Contains(text, `"stream_key_withdrawn"`))
	is.True(!strings.Contains(text, "[DONE]"))
	for _, base := range d.Description.Callers {
		answer, _ := call(t, http.MethodPost, base+"/v1/chat/completions", key, chat)
		is.Equal(answer.StatusCode, http.StatusUnauthorized)
	}
}

func TestIdempotencyKeyRequired(t *testing.T) {
	is := is.New(t)
	d := start(t)
	answer, _ := call(t, http.MethodPost, d.Description.Callers[0]+"/services/bookings/lane-4", d.Description.Keys["suva-swimming"], "{}")
	is.Equal(answer.StatusCode, http.StatusBadRequest)
	is.Equal(answer.Header.Get(entry.ResultHeader), "1009")
	is.Equal(answer.Header.Get(entry.NotRunHeader), "true")
}

func TestOrganisationNotPermitted(t *testing.T) {
	is := is.New(t)
	d := start(t)
	answer, _ := call(t, http.MethodGet, d.Description.Callers[0]+"/services/bookings/lane-4", d.Description.Keys["setubal-depot"], "")
	is.Equal(answer.Header.Get(entry.ResultHeader), "2004")
}

func TestPlannedStopFinishesStream(t *testing.T) {
	is := is.New(t)
	d := startWith(t, Options{BetweenTokens: 10 * time.Millisecond, AnswerTokens: 60})
	_, lines := openStream(t, d.Description.Callers[0], d.Description.Keys["suva-swimming"], longChat)
	d.stop()
	text := readRest(lines)
	is.True(strings.HasSuffix(strings.TrimSpace(text), "data: [DONE]"))
	is.NoErr(d.Close())
}

// Guards against a caller's key that is forwarded to a backend server in a header, a
// cookie or a query parameter.
func TestBackendServersReceiveNoKey(t *testing.T) {
	is := is.New(t)
	d := start(t)
	key := d.Description.Keys["suva-swimming"]
	base := d.Description.Callers[0]
	call(t, http.MethodPost, base+"/v1/chat/completions", key, chat)
	call(t, http.MethodGet, base+"/services/entries/run?api_key="+key, key, "", "Cookie", "token="+key, "X-Api-Key", key)
	events, _ := d.Backends.Timeline.Snapshot()
	received := 0
	for _, e := range events {
		if e.Kind == timeline.BackendReceived {
			received++
			is.Equal(e.KeyDigest, "")
		}
	}
	is.Equal(received, 2)
}

func TestDrainedZoneReceivesNoRequests(t *testing.T) {
	is := is.New(t)
	d := start(t)
	_, err := d.instances[0].Editor().SetZoneDrained(context.Background(), "zone-a", true)
	is.NoErr(err)
	time.Sleep(2 * time.Second)
	before, _ := d.Backends.Timeline.Snapshot()
	for _, base := range d.Description.Callers {
		for range 4 {
			answer, _ := call(t, http.MethodGet, base+"/services/entries/run", d.Description.Keys["suva-swimming"], "")
			is.Equal(answer.StatusCode, http.StatusOK)
		}
	}
	after, _ := d.Backends.Timeline.Snapshot()
	for _, e := range after[len(before):] {
		is.True(!strings.HasSuffix(e.Server, "zone-a"))
	}
}
