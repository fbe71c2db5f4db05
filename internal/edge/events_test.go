package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// TestChangeEvents guards against changes of an instance's state that its log does not
// record. It makes each kind of change and looks for its event. The log as a whole must
// break no invariant of the timeline.
func TestChangeEvents(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addUnreachable("b")
	r := w.startReady("one")
	seen := func(want timeline.Event) func() bool {
		return func() bool {
			return slices.ContainsFunc(r.events(), func(e timeline.Event) bool { return matches(e, want) })
		}
	}
	expect := func(want timeline.Event) {
		t.Helper()
		eventually(t, 6*time.Second, fmt.Sprintf("an event like %+v", want), seen(want))
	}
	expect(timeline.Event{Kind: timeline.InstanceStarted, Zone: "z"})
	expect(timeline.Event{Kind: timeline.ConfigApplied, Version: 1})
	expect(timeline.Event{Kind: timeline.LeaseAcquired, Duty: controlDuty})
	r.expect("1", "key", http.StatusServiceUnavailable)
	expect(timeline.Event{Kind: timeline.ServerSuspect, Server: "b", State: "unreached"})
	w.addServer("a", 0)
	expect(timeline.Event{Kind: timeline.ServerState, Server: "a", Service: "s", Zone: "z", State: "seen"})
	r.expect("2", "key", http.StatusOK)
	expect(timeline.Event{Kind: timeline.UsageFrozen, Organisation: "org"})
	expect(timeline.Event{Kind: timeline.UsageReported, Organisation: "org", Duty: controlDuty})
	w.store.Put("op", "config", []byte("{"))
	expect(timeline.Event{Kind: timeline.ConfigRefused, Subject: "config"})
	w.store.Put("op", "out/z", []byte("{}"))
	expect(timeline.Event{Kind: timeline.ZoneDrained, Zone: "z"})
	w.store.Delete("op", "out/z")
	expect(timeline.Event{Kind: timeline.ZoneRestored, Zone: "z"})
	expect(timeline.Event{Kind: timeline.ServerCold, Server: "a"})
	w.store.Delete("servers", "b")
	expect(timeline.Event{Kind: timeline.ServerState, Server: "b", State: "gone"})
	w.store.Put("servers", "malformed", []byte("{"))
	expect(timeline.Event{Kind: timeline.ServerState, Server: "malformed", State: "unreadable"})
	w.store.Delete("servers", "a") // no server is left
	expect(timeline.Event{Kind: timeline.OrderSent, Service: "s", Zone: "z", Duty: controlDuty})
	expect(timeline.Event{Kind: timeline.OrderConfirmed, Service: "s", Zone: "z", Duty: controlDuty})
	w.putConfig(2, "key")
	expect(timeline.Event{Kind: timeline.ConfigApplied, Version: 2})
	w.putConfig(3, "another")
	expect(timeline.Event{Kind: timeline.KeyWithdrawn, Organisation: "org", Version: 3})
	other := w.startReady("two")
	expect(timeline.Event{Kind: timeline.PeerUp, Peer: "two"})
	w.store.SetDown(true)
	expect(timeline.Event{Kind: timeline.TableUnavailable, Subject: "operators"})
	w.store.SetDown(false)
	expect(timeline.Event{Kind: timeline.TableRecovered, Subject: "operators"})
	r.Reload(r.settings, nil)
	expect(timeline.Event{Kind: timeline.SettingsRead, State: "unchanged"})
	r.stop()
	is.NoErr(<-r.done)
	r.done <- nil
	expect(timeline.Event{Kind: timeline.InstanceDraining})
	expect(timeline.Event{Kind: timeline.InstanceStopped})
	events := append(r.events(), other.events()...)
	for _, v := range invariant.Check(events, invariant.Options{}) {
		t.Errorf("%s: %s at %+v", v.Check, v.Message, v.Event)
	}
}

// matches reports whether an event has the kind of want and every field that is set in
// it.
func matches(e, want timeline.Event) bool {
	equal := func(got, want string) bool { return want == "" || got == want }
	return e.Kind == want.Kind && equal(e.Server, want.Server) && equal(e.Service, want.Service) &&
		equal(e.Zone, want.Zone) && equal(e.State, want.State) && equal(e.Subject, want.Subject) &&
		equal(e.Duty, want.Duty) && equal(e.Organisation, want.Organisation) && equal(e.Peer, want.Peer) &&
		(want.Version == 0 || e.Version == want.Version)
}

// addUnreachable registers a backend server at an address without a listener.
func (w *testPlatform) addUnreachable(id string) {
	w.t.Helper()
	entry, err := json.Marshal(directory.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "z", Capacity: 64})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("servers", id, entry)
}

func TestRefusedOrderEvent(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.refuseOrders = true
	r := w.startReady("one")
	eventually(t, 8*time.Second, "a refused order", func() bool {
		return slices.ContainsFunc(r.events(), func(e timeline.Event) bool {
			return e.Kind == timeline.OrderRefused && e.Service == "s" && e.Zone == "z"
		})
	})
}
