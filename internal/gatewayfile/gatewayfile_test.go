package gatewayfile

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	f, err := Load("../../examples/gateway.yaml")
	is.NoErr(err)
	table, err := f.Table(1)
	is.NoErr(err)
	is.Equal(table.Match("gala.example", "/lanes/4").Name, "lanes")
	is.Equal(len(f.Servers()), 3)
}

func TestDecodeReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := Decode("bad.yaml", []byte(`listen: nowhere
services:
  - name: s
    servers: [{name: a, address: "host:1"}]
  - name: s
    servers: []
routes:
  - {name: r, host: h, prefix: /x, kind: stream, split: [{service: other}]}
  - {name: q, host: h, prefix: /y/, kind: idempotent, resumable: true, split: [{service: s}]}
organisations:
  - {name: o, key-digests: [abc]}
surprise: 1
`))
	var faults *yamlfault.FaultsError
	is.True(errors.As(err, &faults))
	text := err.Error()
	for _, want := range []string{
		"bad.yaml:1:", "listen", "services[0].servers[0].address", "services[1].name", "services[1].servers",
		"routes[0].prefix", "routes[0].split[0].service", "routes[1].resumable", "organisations[0].key-digests[0]", "surprise",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no fault about %s in:\n%s", want, text)
		}
	}
}

// writeFile writes a file with one route to a backend server.
func writeFile(t *testing.T, path, address, prefix string) {
	t.Helper()
	text := `listen: 127.0.0.1:0
services: [{name: s, servers: [{name: a, address: "` + address + `"}]}]
routes: [{name: r, host: h, prefix: ` + prefix + `, kind: idempotent, split: [{service: s}]}]
organisations: [{name: o, key-digests: [` + string(config.DigestKey("key")) + `]}]
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestServeAndReload(t *testing.T) {
	is := is.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
		_, _ = io.WriteString(w, r.Header.Get(organisationHeader)+r.Header.Get("Authorization"))
	}))
	defer backend.Close()
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	writeFile(t, path, backend.Listener.Addr().String(), "/a/")
	f, err := Load(path)
	is.NoErr(err)
	sink := logsink.New(io.Discard, 0)
	s, err := New(f, sink)
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	reload := make(chan os.Signal, 1)
	done := make(chan error)
	go func() { done <- s.Run(ctx, path, reload) }()
	call := func(path, key string) (int, string) {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+path, nil)
		is.NoErr(err)
		r.Host = "h"
		r.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(body)
	}
	status, body := call("/a/x", "key")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "o") // the backend server receives the organisation's name and no key
	status, _ = call("/a/x", "other")
	is.Equal(status, http.StatusUnauthorized)
	writeFile(t, path, backend.Listener.Addr().String(), "/b/")
	reload <- syscall.SIGHUP
	for status = 0; status != http.StatusOK; status, _ = call("/b/x", "key") {
		time.Sleep(time.Millisecond)
	}
	status, _ = call("/a/x", "key")
	is.Equal(status, http.StatusNotFound)
	is.NoErr(os.WriteFile(path, []byte("listen: ["), 0o600))
	reload <- syscall.SIGHUP
	status, _ = call("/b/x", "key") // the previous version stays active
	is.Equal(status, http.StatusOK)
	stop()
	is.NoErr(<-done)
}
