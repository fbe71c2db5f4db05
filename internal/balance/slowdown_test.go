package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answer assigns a request, lets its first event arrive after a time that depends
// on the server, ends it and returns the server's ID.
func (b *testBalancer) answer(own uint64, firstEventAfter func(server string) time.Duration) string {
	b.t.Helper()
	a := b.mustAcquire(&Query{
		Service: "engine", PromptTokens: 1000, MaxWait: time.Millisecond,
		Parts: []Part{{ID: own, Tokens: 1000}},
	})
	b.clock = b.clock.Add(firstEventAfter(a.Server))
	a.PrefillDone()
	a.End(Answered)
	return a.Server
}

func TestSlowServerGetsLessWork(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	for i := range 6 {
		b.add("engine", fmt.Sprint("server-", i), nil)
	}
	usual := func(string) time.Duration { return 100 * time.Millisecond }
	slow := func(server string) time.Duration {
		if server == "server-2" {
			return 500 * time.Millisecond
		}
		return usual(server)
	}
	share := func(firstEventAfter func(string) time.Duration, from uint64) int {
		n := 0
		for own := from; own < from+120; own++ {
			if b.answer(own, firstEventAfter) == "server-2" {
				n++
			}
		}
		return n
	}
	before := share(usual, 1000)
	is.True(before > 0)
	share(slow, 2000) // builds up the moving average
	is.True(share(slow, 3000) < before/2)
	b.clock = b.clock.Add(10 * slowdownDecayTime)
	is.True(share(usual, 4000) > before/2) // the observation has decayed; the server is tried again and has recovered
}

func TestUniformSlowdownIsIgnored(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	for i := range 6 {
		b.add("engine", fmt.Sprint("server-", i), nil)
	}
	for own := range uint64(200) {
		b.answer(1000+own, func(string) time.Duration { return time.Second })
	}
	now := b.clock
	p := b.pools["engine"]
	for _, s := range p.servers {
		is.Equal(s.relativeSlowdown(now, p.medianSlowdown(now)), 1.0)
	}
}

func TestMedianNeedsEnoughServers(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	b.add("engine", "server-0", nil)
	b.add("engine", "server-1", nil)
	for own := range uint64(50) {
		b.answer(1000+own, func(server string) time.Duration {
			if server == "server-0" {
				return time.Second
			}
			return 50 * time.Millisecond
		})
	}
	is.Equal(b.pools["engine"].medianSlowdown(b.clock), 0.0)
}
