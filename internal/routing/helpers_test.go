package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

var start = time.Unix(1_000_000, 0)

const (
	testDeadline = 20 * time.Second
	testSettle   = 2 * (DefaultFreshFor + DefaultListLag)
)

func modelConfig(cold, warm int, zonesOut ...string) *config.Snapshot {
	out := map[string]bool{}
	for _, z := range zonesOut {
		out[z] = true
	}
	return config.NewSnapshot(1, "", config.Config{
		Classes: []config.Class{{Name: "c", Tier: 1, Deadline: config.Duration(testDeadline)}},
		Models:  []config.Model{{Name: "m", Class: "c", ColdLimit: cold, WarmLimit: warm}},
		Zones:   []config.Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}},
	}, nil, out)
}

func modelServer(n int) platform.Server {
	return platform.Server{
		Name: fmt.Sprintf("s%05d", n), Address: "127.0.0.1:1", Zone: string(rune('a' + n%3)),
		Model: "m", Epoch: 1, State: platform.ServerRunning,
	}
}

// newStore returns the store of "i0" as the only instance, with n servers.
func newStore(c *config.Snapshot, n int) *Store {
	s := NewStore("i0", Timing{})
	s.SetConfig(start, c)
	servers := make([]platform.Server, n)
	for i := range servers {
		servers[i] = modelServer(i)
	}
	s.SetServers(start, servers)
	s.SetMembers(start, []string{"i0"}, start)
	return s
}

// warm raises every server of the store to its warm limit and returns the time
// at which that is done.
func warm(s *Store) time.Time {
	now := start
	for range 12 {
		now = now.Add(rampStepInterval)
		for _, l := range s.lives {
			l.ApplyReport(now, engineapi.LoadReport{Epoch: l.Epoch(), UnixMillis: now.UnixMilli(), CacheUse: 0.5})
		}
	}
	s.SetMembers(now, []string{"i0"}, now)
	return now
}

func testRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func newStoreServers() []platform.Server { return []platform.Server{modelServer(0)} }
