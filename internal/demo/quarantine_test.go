package demo

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
)

const poison = "poisoned roster"

func sendPrompt(t *testing.T, d *Demo, instance int, text string) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":"label-2b","messages":[{"role":"user","content":%q}]}`, text)
	answer, _ := call(t, http.MethodPost, d.Description.Callers[instance]+"/v1/chat/completions", d.Description.Keys["setubal-depot"], body)
	return answer
}

// Guards against a request that crashes one backend server after another: after at most
// two crashes it must be refused on all instances, and other requests must succeed.
func TestQuarantineOnBothInstances(t *testing.T) {
	is := is.New(t)
	d := start(t)
	awaitPeers(t, d)
	for _, e := range d.Backends.Engines {
		e.Set(fault.Settings{Poison: poison})
	}
	is.True(sendPrompt(t, d, 0, poison).StatusCode != http.StatusOK)
	for n := range 2 {
		for range 3 {
			is.True(sendPrompt(t, d, n, poison).StatusCode != http.StatusOK)
		}
	}
	is.Equal(sendPrompt(t, d, 0, poison).Header.Get(entry.ResultHeader), "4009")
	is.Equal(sendPrompt(t, d, 1, poison).Header.Get(entry.ResultHeader), "4009")
	is.True(crashes(d) <= 2)
	for n := range 2 {
		is.Equal(sendPrompt(t, d, n, "a harmless question").StatusCode, http.StatusOK)
	}
}

// crashes returns the number of engine restarts.
func crashes(d *Demo) int {
	n := 0
	for _, e := range d.Backends.Engines {
		n += int(e.Epoch()) - 1
	}
	return n
}

// awaitPeers waits until the instances are connected to each other.
func awaitPeers(t *testing.T, d *Demo) {
	t.Helper()
	const limit = 10 * time.Second
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		connected := 0
		for _, i := range d.instances {
			for _, p := range i.Status(context.Background()).Peers {
				if p.Up {
					connected++
				}
			}
		}
		if connected == len(d.instances)*(len(d.instances)-1) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("instances are not connected within %s", limit)
		}
	}
}
