package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
)

func TestRunIDPerExecution(t *testing.T) {
	is := is.New(t)
	s, err := Start(Options{Service: "credits"})
	is.NoErr(err)
	defer s.Close()
	seen := make(map[string]bool)
	for range 3 {
		r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/credit", strings.NewReader("{}"))
		is.NoErr(err)
		r.Header.Set(engineapi.RecordHeader, "r1")
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		var run Run
		is.NoErr(json.NewDecoder(response.Body).Decode(&run))
		is.NoErr(response.Body.Close())
		seen[run.Run] = true
	}
	is.Equal(len(seen), 3)
	is.Equal(s.Runs("r1"), 3)
}

func TestEchoFullDuplex(t *testing.T) {
	is := is.New(t)
	s, err := Start(Options{Service: "echo"})
	is.NoErr(err)
	defer s.Close()
	body, feed := io.Pipe()
	response, err := http.Post("http://"+s.Address()+EchoPath, "text/plain", body)
	is.NoErr(err)
	defer response.Body.Close()
	chunk := make([]byte, 5)
	for range 3 {
		_, err = feed.Write([]byte("hello"))
		is.NoErr(err)
		_, err = io.ReadFull(response.Body, chunk) // before the body has ended
		is.NoErr(err)
		is.Equal(string(chunk), "hello")
	}
	is.NoErr(feed.Close())
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(rest), 0)
}

func TestSilencedConnections(t *testing.T) {
	is := is.New(t)
	s, err := Start(Options{Service: "x"})
	is.NoErr(err)
	defer s.Close()
	s.Set(fault.Settings{Paused: true})
	errs := make(chan error, 1)
	go func() {
		_, err := http.Get("http://" + s.Address() + "/held")
		errs <- err
	}()
	for s.inFlight.Load() == 0 {
		runtime.Gosched()
	}
	s.SilenceConnections()
	s.Set(fault.Settings{})
	response, err := (&http.Client{Transport: &http.Transport{}}).Get("http://" + s.Address() + "/new")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(len(errs), 0) // the silenced connection received nothing
	s.ResetConnections()
	is.True(<-errs != nil)
}
