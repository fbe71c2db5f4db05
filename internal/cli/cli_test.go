package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/settings"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const validText = "organisations: [{name: suva}]\nclasses: [{name: status, tier: 1}]\nzones: [{name: suva-a}]\n"

// outcome is the exit code and the output of a command.
type outcome struct {
	code     int
	out, err string
}

// run runs a command against a fake instance and returns the outcome and the requests
// that the instance received. Answers maps method and path to the body of the response;
// bodies that start with an "error" are sent with status 409.
func run(t *testing.T, answers map[string]string, args ...string) (outcome, []string) {
	t.Helper()
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests = append(requests, strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)))
		answer := answers[r.Method+" "+r.URL.Path]
		w.Header().Set("Hawthornwick-Events-Lost", "0")
		if strings.HasPrefix(answer, `{"error"`) {
			w.WriteHeader(http.StatusConflict)
		}
		io.WriteString(w, answer)
	}))
	defer server.Close()
	t.Setenv("HAWTHORNWICK_OPERATOR", server.URL)
	return runOffline(t, Commands{}, args...), requests
}

func runOffline(t *testing.T, c Commands, args ...string) outcome {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(t.Context(), args, c, Streams{In: strings.NewReader("hw_from-stdin\n"), Out: &out, Err: &errs})
	return outcome{code, out.String(), errs.String()}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "configuration.yaml")
	is.New(t).NoErr(os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestConfigCheckReportsAllFaults(t *testing.T) {
	is := is.New(t)
	name := writeFile(t, "organisations: [{name: suva, wieght: 2}]\nclasses:\n  - {name: status, tier: 8}\n  - {name: draft, tier: 2, deadline: 30}\nzones: [{name: suva-a}]\n")
	got := runOffline(t, Commands{}, "config", "check", name)
	is.Equal(got.code, exitInvalid)
	is.Equal(strings.Count(got.err, name+":"), 3)
	is.True(strings.Contains(got.err, name+":3:26: classes[0].tier: 8 is not a tier"))
	is.True(strings.Contains(got.err, "3 faults; nothing changed"))

	got = runOffline(t, Commands{}, "config", "check", "--json", name)
	is.Equal(got.code, exitInvalid)
	var answer struct {
		Error struct{ Faults []config.Fault }
	}
	is.NoErr(json.Unmarshal([]byte(got.err), &answer))
	is.Equal(len(answer.Error.Faults), 3)
}

func TestConfigApplyWaitsForInstances(t *testing.T) {
	is := is.New(t)
	name := writeFile(t, validText)
	answers := map[string]string{
		"GET /config":   `{"version":6,"text":"old"}`,
		"PUT /config":   `{"version":7}`,
		"GET /in-force": `[{"instance":"a","zone":"suva-a","version":7},{"instance":"b","version":8}]`,
	}
	got, requests := run(t, answers, "config", "apply", name)
	is.Equal(got.code, exitDone)
	is.True(strings.Contains(requests[1], `"base":6`))
	is.True(strings.Contains(got.out, "version 7\n  a (suva-a): in force\n  b: in force\n"))

	answers["GET /in-force"] = `[{"instance":"a","version":7},{"instance":"b","version":6},{"instance":"c","version":0}]`
	got, _ = run(t, answers, "config", "apply", "--wait", "1ns", "--json", name)
	is.Equal(got.code, exitFailed)
	is.True(strings.Contains(got.out, `"in_force_everywhere":false`))
	is.True(strings.Contains(got.err, "not seen in force on [b c]"))
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	valid, faulty := writeFile(t, validText), writeFile(t, "zones: []")
	conflict := map[string]string{"PUT /config": `{"error":{"code":7002,"type":"config_conflict","message":"changed"}}`}
	unknown := map[string]string{"PUT /zones/suva-b": `{"error":{"code":7004,"type":"unknown_name","message":"none"}}`}
	down := map[string]string{"POST /keys": `{"error":{"code":7003,"type":"store_unavailable","message":"down"}}`}
	cases := []struct {
		answers map[string]string
		code    int
		args    []string
	}{
		{conflict, exitConflict, []string{"config", "apply", "--base", "3", valid}},
		{unknown, exitInvalid, []string{"zone", "out", "suva-b"}},
		{down, exitFailed, []string{"key", "grant", "suva"}},
		{nil, exitInvalid, []string{"config", "apply", faulty}},
		{nil, exitInvalid, []string{"config", "check", "/does/not/exist"}},
		{nil, exitInvalid, []string{"zone", "out"}},
		{nil, exitInvalid, []string{"key", "withdraw"}},
		{nil, exitInvalid, []string{"status", "--operator", "localhost:1"}},
		{nil, exitInvalid, []string{"serve"}},
		{nil, exitInvalid, []string{"demo", "--instances", "0"}},
		{nil, exitInvalid, []string{"nonsense"}},
		{nil, exitUnreachable, []string{"status", "--operator", "127.0.0.1:1"}},
		{nil, exitDone, []string{"--help"}},
		{nil, exitDone, []string{"zone", "out", "--help"}},
	}
	for _, c := range cases {
		got, requests := run(t, c.answers, c.args...)
		is.Equal(got.code, c.code) // for the args of the case
		if c.code == exitInvalid && c.answers == nil {
			is.Equal(len(requests), 0) // rejected without a request to the instance
		}
	}
}

// Guards against a key that leaves the machine: only its digest may be sent.
func TestKeyGrantSendsDigestOnly(t *testing.T) {
	is := is.New(t)
	answers := map[string]string{"POST /keys": `{"version":9}`, "GET /in-force": `[]`}
	got, requests := run(t, answers, "key", "grant", "--json", "suva")
	is.Equal(got.code, exitDone)
	var report grantReport
	is.NoErr(json.Unmarshal([]byte(got.out), &report))
	is.Equal(report.Digest, config.DigestKey(report.Key))
	is.Equal(report.Version, uint64(9))
	is.True(strings.Contains(requests[0], string(report.Digest)))
	is.True(!strings.Contains(strings.Join(requests, " "), report.Key))
}

func TestKeyWithdrawFromStdin(t *testing.T) {
	is := is.New(t)
	path := "/keys/" + string(config.DigestKey("hw_from-stdin"))
	got, _ := run(t, map[string]string{"DELETE " + path: `{"version":0,"pending":true}`}, "key", "withdraw", "-")
	is.Equal(got.code, exitDone)
	is.True(strings.Contains(got.out, "written once the table service answers"))
}

func TestTimeline(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 5, 1, 4, 0, 0, 0, time.UTC)
	var lines bytes.Buffer
	is.NoErr(timeline.WriteJSON(&lines, []timeline.Event{
		{Time: start, Instance: "a", Kind: timeline.RequestReceived, Request: "r1"},
		{Time: start, Instance: "a", Sequence: 1, Kind: timeline.RequestReceived, Request: "r2"},
		{Time: start, Instance: "a", Sequence: 2, Kind: timeline.RequestRefused, Request: "r2", NotRun: true},
		{Time: start, Instance: "a", Sequence: 3, Kind: timeline.AttemptSent, Request: "r2", Attempt: "x", Server: "s"},
	}))
	answers := map[string]string{"GET /timeline": lines.String(), "GET /config": `{"version":1,"text":""}`}
	got, _ := run(t, answers, "timeline", "--request", "r1", "--json")
	is.Equal(got.code, exitDone)
	is.Equal(strings.Count(got.out, "\n"), 1)

	got, _ = run(t, answers, "timeline", "--check")
	is.Equal(got.code, exitFailed)
	is.True(strings.Contains(got.out, "not_run_is_true: "))

	saved := writeFile(t, lines.String())
	got = runOffline(t, Commands{}, "timeline", "--input", saved, "--format", "chrome")
	is.Equal(got.code, exitDone)
	is.True(strings.HasPrefix(got.out, `{"traceEvents":[`))

	got, _ = run(t, answers, "timeline", "--operator", "127.0.0.1:1")
	is.Equal(got.code, exitUnreachable)
}

func TestServeAndDemo(t *testing.T) {
	is := is.New(t)
	failure := errors.New("listener is taken")
	var served *settings.Settings
	var demo DemoOptions
	c := Commands{
		Serve: func(_ context.Context, s *settings.Settings) error { served = s; return failure },
		Demo:  func(_ context.Context, o DemoOptions) error { demo = o; return nil },
	}
	is.Equal(runOffline(t, c, "demo", "--instances", "3", "--json").code, exitDone)
	is.True(demo.JSON && demo.Instances == 3 && demo.Out != nil)

	got := runOffline(t, c, "serve", "--settings", writeFile(t, "instance: a\n"))
	is.Equal(got.code, exitInvalid)
	is.True(served == nil && strings.Contains(got.err, "platform.table: required"))
	is.Equal(runOffline(t, c, "serve", "--settings", "/does/not/exist").code, exitInvalid)
}

func TestStatusWithTLSAndToken(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer operators-secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		io.WriteString(w, `{"instance":"a","state":"ready","ready":true}`)
	}))
	defer server.Close()
	authority := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	token := writeFile(t, "operators-secret\n")

	got := runOffline(t, Commands{}, "status", "-o", server.URL, "--ca", authority, "--token-file", token)
	is.Equal(got.code, exitDone)
	is.True(strings.HasPrefix(got.out, "instance a in zone"))
	got = runOffline(t, Commands{}, "status", "-o", server.URL, "--token-file", token)
	is.Equal(got.code, exitUnreachable) // unknown certificate authority
	got = runOffline(t, Commands{}, "status", "-o", server.URL, "--ca", token)
	is.Equal(got.code, exitInvalid) // no certificate
	got = runOffline(t, Commands{}, "status", "-o", server.URL, "--ca", authority)
	is.Equal(got.code, exitFailed) // no token
}
