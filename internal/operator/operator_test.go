package operator_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/operator/client"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	token = "operators-secret"
	text  = "organisations: [{name: suva}]\nclasses: [{name: status, tier: 1}]\nzones: [{name: suva-a}]\n"
)

type testAPI struct {
	store    *fakeStore
	instance *fakeInstance
	ring     *timeline.Ring
	server   *httptest.Server
	client   *client.Client
}

func newTestAPI(t *testing.T) *testAPI {
	t.Helper()
	b := &testAPI{
		store:    &fakeStore{keys: map[config.KeyDigest]config.KeyState{}, zones: map[string]bool{}},
		instance: &fakeInstance{drains: make(chan bool, 2)},
		ring:     timeline.NewRing("a", 2, nil),
	}
	b.server = httptest.NewServer(operator.NewHandler(operator.Options{
		Source: b.store, Editor: b.store, Timeline: b.ring, Status: b.instance, Drainer: b.instance,
		Metrics:     func(w io.Writer) { io.WriteString(w, "requests_total 1\n") },
		TokenDigest: string(config.DigestKey(token)),
		Log:         hclog.NewNullLogger(),
	}))
	t.Cleanup(b.server.Close)
	var err error
	b.client, err = client.New(b.server.URL, token, nil)
	is.New(t).NoErr(err)
	return b
}

// codeOf returns the result code of an AnswerError, or 0 for any other error.
func codeOf(err error) result.Code {
	var answered *client.AnswerError
	if !errors.As(err, &answered) {
		return 0
	}
	return answered.Body.Code
}

func TestConfig(t *testing.T) {
	is := is.New(t)
	b := newTestAPI(t)
	ctx := t.Context()

	_, err := b.client.Config(ctx)
	is.Equal(codeOf(err), result.ConfigurationStale) // nothing was applied yet

	_, err = b.client.Apply(ctx, "classes: [{name: status, tier: 8}]", 0)
	var answered *client.AnswerError
	is.True(errors.As(err, &answered))
	is.Equal(answered.Body.Code, result.ConfigInvalid)
	is.Equal(len(answered.Body.Faults), 3)
	is.True(answered.Body.NotRun)

	change, err := b.client.Apply(ctx, text, 0)
	is.NoErr(err)
	is.Equal(change, operator.ChangeAnswer{Version: 1})
	_, err = b.client.Apply(ctx, text, 0)
	is.Equal(codeOf(err), result.ConfigConflict)

	_, err = b.client.SetZone(ctx, "suva-a", true)
	is.NoErr(err)
	shown, err := b.client.Config(ctx)
	is.NoErr(err)
	is.Equal(shown, operator.ConfigAnswer{Version: 2, Text: text, ZonesOut: []string{"suva-a"}})
	inForce, err := b.client.InForce(ctx)
	is.NoErr(err)
	is.Equal(inForce[0], config.InstanceVersion{Instance: "a", Version: 2}) // sorted by instance
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	b := newTestAPI(t)
	ctx := t.Context()
	_, err := b.client.Apply(ctx, text, 0)
	is.NoErr(err)
	digest := config.DigestKey("caller-secret")

	_, err = b.client.GrantKey(ctx, "caller-secret", "suva")
	is.Equal(codeOf(err), result.BadRequest) // a key is no digest
	_, err = b.client.GrantKey(ctx, digest, "nadi")
	is.Equal(codeOf(err), result.UnknownName)
	_, err = b.client.GrantKey(ctx, digest, "suva")
	is.NoErr(err)

	b.store.storeDown = true
	change, err := b.client.WithdrawKey(ctx, digest)
	is.NoErr(err)
	is.Equal(change, operator.ChangeAnswer{Pending: true})
	keys, err := b.client.Keys(ctx)
	is.NoErr(err)
	is.Equal(keys, []operator.KeyAnswer{{Digest: digest, Organisation: "suva", Withdrawn: true}})
}

func TestStatusDrainAndTimeline(t *testing.T) {
	is := is.New(t)
	b := newTestAPI(t)
	ctx := t.Context()
	b.instance.unready = "draining"
	status, err := b.client.Status(ctx)
	is.NoErr(err)
	is.True(!status.Ready && status.Reason == "draining" && status.Instance == "a")

	is.NoErr(b.client.Drain(ctx, false))
	is.NoErr(b.client.Drain(ctx, true))
	is.Equal([]bool{<-b.instance.drains, <-b.instance.drains}, []bool{false, true})

	for range 3 {
		b.ring.Record(timeline.Event{Kind: timeline.PeerUp})
	}
	events, lost, err := b.client.Timeline(ctx)
	is.NoErr(err)
	is.Equal(len(events), 2)
	is.Equal(lost, uint64(1))
}

func TestToken(t *testing.T) {
	b := newTestAPI(t)
	b.instance.unready = "starting"
	cases := []struct {
		method, path, token string
		status              int
	}{
		{"GET", operator.LivePath, "", http.StatusOK},
		{"GET", operator.ReadyPath, "", http.StatusServiceUnavailable},
		{"GET", operator.MetricsPath, "", http.StatusOK},
		{"GET", operator.TimelinePath, "", http.StatusUnauthorized},
		{"GET", operator.ProfilePath, "wrong", http.StatusUnauthorized},
		{"GET", operator.ProfilePath, token, http.StatusOK},
		{"POST", operator.DrainPath, "wrong", http.StatusUnauthorized},
		{"POST", operator.DrainPath, token, http.StatusAccepted}, // no body
		{"PUT", operator.ConfigPath, "wrong", http.StatusUnauthorized},
		{"GET", "/elsewhere", token, http.StatusNotFound},
	}
	for _, c := range cases {
		request, err := http.NewRequest(c.method, b.server.URL+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if c.token != "" {
			request.Header.Set("Authorization", "Bearer "+c.token)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("%s %s with token %q: got %s, want %d", c.method, c.path, c.token, response.Status, c.status)
		}
	}
}

func TestBodyLimits(t *testing.T) {
	is := is.New(t)
	b := newTestAPI(t)
	_, err := b.client.Apply(t.Context(), strings.Repeat("#", 17<<20), 0)
	is.Equal(codeOf(err), result.BodyTooLarge)
}

func TestInvalidAddresses(t *testing.T) {
	for _, address := range []string{"localhost:9090", "http://operators:9090", "ftp://10.0.0.7:9090", "10.0.0.7", "http://10.0.0.7:9090/x"} {
		if _, err := client.New(address, "", nil); err == nil {
			t.Errorf("address %q was accepted", address)
		}
	}
}
