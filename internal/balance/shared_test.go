package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoadsOfOthersCountUntilTheyAreReadOrOld(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "i", "i", "j")
	b.add("engine", "a", nil)
	b.add("engine", "b", nil)
	busy, idle := "a", "b"
	if b.take(prompt(1)).Server == "a" {
		busy, idle = idle, busy // the home of the next prompt does not matter then
	}
	plain := &Query{Service: "engine", PromptTokens: 1000, Patience: time.Millisecond}
	b.SetOthers(map[string]Load{idle: {InFlight: 20, Unread: 100_000}})
	is.Equal(b.take(plain).Server, busy)
	b.clock = b.clock.Add(othersLifetime + time.Millisecond)
	b.SetOthers(map[string]Load{busy: {InFlight: 20, Unread: 100_000}})
	is.Equal(b.take(plain).Server, idle)
	b.clock = b.clock.Add(othersLifetime + time.Millisecond) // told long ago
	is.Equal(b.servers[0].ID, "a")
	is.Equal(b.Balancer.servers["a"].load(b.clock).Unread, b.Balancer.servers["a"].prefill)
}

func TestPromptsThatOthersSentAreTakenToBeHeld(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "i", "i", "j")
	for _, id := range []string{"a", "b", "c", "d"} {
		b.add("engine", id, nil)
	}
	q := prompt(1)
	home := b.take(q).Server
	b.TakeSent()
	holder := "a"
	if home == holder {
		holder = "b"
	}
	b.SetOthers(map[string]Load{home: {Unread: 20_000}}) // worth leaving for one that holds the prefix
	other := promptOf(1, 77)
	b.NoteSent([]Sent{{Server: holder, Parts: []uint64{1, 5}}, {Server: "gone", Parts: []uint64{1}}})
	is.Equal(b.take(other).Server, holder)
	is.Equal(b.TakeSent(), []Sent{{Server: holder, Parts: []uint64{1, 77}}})
	is.Equal(len(b.TakeSent()), 0)
}

func TestOwnLoadIsToldByServer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "i", "i")
	b.add("engine", "a", nil)
	is.Equal(len(b.Loads()), 0)
	a := b.take(prompt(1))
	is.Equal(b.Loads(), map[string]Load{"a": {InFlight: 1, Unread: 17000}})
	a.ReadPrompt()
	is.Equal(b.Loads(), map[string]Load{"a": {InFlight: 1}})
	a.End(Answered)
	is.Equal(len(b.Loads()), 0)
}

func TestSentPromptsAreBoundedWhileNobodyTakesThem(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "i", "i")
	b.add("engine", "a", nil)
	for n := range 2 * mostSent {
		b.take(promptOf(1, uint64(n+100))).End(Answered)
	}
	sent := b.TakeSent()
	is.Equal(len(sent), mostSent)
	is.Equal(sent[mostSent-1].Parts[1], uint64(2*mostSent+99)) // the newest are kept
}

// TestBusyServersMakeReadingAnewDearer: the same wait at the prefix's home is left
// for a server without the prefix while all else is idle, and borne while all are busy.
func TestBusyServersMakeReadingAnewDearer(t *testing.T) {
	is := is.New(t)
	e := Estimate{}
	q := &Query{PromptTokens: 17000}
	home := Candidate{Engine: true, SameZone: true, Excess: 1, Reading: 30_000, Missing: 4000}
	away := Candidate{Engine: true, SameZone: true, Excess: 1, Reading: 0, Missing: 17_000}
	is.True(e.Cost(q, away) < e.Cost(q, home))
	busy := func(c Candidate) Candidate {
		c.Reading += 60_000
		c.Pressure = 60_000 / prefillTokensPerMilli
		return c
	}
	is.True(e.Cost(q, busy(home)) < e.Cost(q, busy(away)))
}
