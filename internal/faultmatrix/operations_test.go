package faultmatrix

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/demo"
	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

var draftProbe = probe{
	method: http.MethodPost, path: "/v1/chat/completions",
	body: `{"model":"roster-8b","stream":true,"messages":[{"role":"user","content":"draft the heat sheets"}]}`,
}

// load sends requests to two models through both instances until stopped.
type load struct {
	s        *site
	stopped  atomic.Bool
	answered atomic.Int64
	wait     sync.WaitGroup
}

func (s *site) startLoad() *load {
	l := &load{s: s}
	for _, p := range []probe{chatProbe, draftProbe} {
		for n := range 4 {
			l.wait.Go(func() { l.send(n%2, p) })
		}
	}
	return l
}

func (l *load) send(instance int, p probe) {
	for !l.stopped.Load() {
		a := l.s.sendAs(instance, otherOrganisation, p)
		switch {
		case a.whole && a.code == 0:
			l.answered.Add(1)
		case a.status == http.StatusOK:
			l.s.t.Errorf("stream ended early: result %d, %d events, %v", int(a.code), a.events, a.cut)
		case a.status == 0:
			return // the instance has stopped
		}
	}
}

// TestPlannedOperations drains an availability zone, removes a backend server after
// its notice and stops both instances, under load. It guards against planned
// operations that end a stream early.
func TestPlannedOperations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, Cell{}, chatProbe)
	l := s.startLoad()
	_, err := s.demo.Editor(1).SetZoneDrained(context.Background(), "zone-a", true)
	is.NoErr(err)
	s.demo.Backends.Timeline.Record(timeline.Event{Kind: timeline.ServerState, Server: "engine-2", State: "leaving"})
	s.demo.Backends.Platform.AnnounceRemoval("engine-2")
	time.Sleep(invariant.DefaultZoneBound + time.Second) // the load continues
	before := l.answered.Load()
	is.True(before > 0)
	_, err = s.demo.Editor(0).SetZoneDrained(context.Background(), "zone-a", false)
	is.NoErr(err)
	is.NoErr(s.demo.Close())
	l.stopped.Store(true)
	l.wait.Wait()
	for _, v := range invariant.Check(s.events(), invariant.Options{Complete: true}) {
		t.Error(v)
	}
}

// TestWithdrawKeyDuringStreams withdraws a key while streams that use it would run
// for several more seconds. It guards against streams that outlive their key.
func TestWithdrawKeyDuringStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, err := demo.Start(context.Background(), demo.Options{Out: io.Discard, AnswerTokens: 800})
	is.NoErr(err)
	s := &site{t: t, demo: d}
	var streams sync.WaitGroup
	for n := range 4 {
		streams.Go(func() { s.sendAs(n%2, otherOrganisation, chatProbe) })
	}
	time.Sleep(time.Second) // all streams have started
	_, err = d.Editor(1).WithdrawKey(context.Background(), config.DigestKey(d.Description.Keys[otherOrganisation]))
	is.NoErr(err)
	streams.Wait()
	is.NoErr(d.Close())
	events := s.events()
	for _, v := range invariant.Check(events, invariant.Options{Complete: true}) {
		t.Error(v)
	}
	is.True(slices.ContainsFunc(events, func(e timeline.Event) bool { return e.Kind == timeline.RequestFailed }))
}
