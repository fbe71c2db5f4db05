package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// fleet is a fleet size for benchmarks.
type fleet struct {
	servers, models, organisations, instances int
}

var fleets = []fleet{
	{servers: 20, models: 2, organisations: 10, instances: 8},
	{servers: 1200, models: 28, organisations: 200, instances: 40},
	{servers: 12000, models: 28, organisations: 2000, instances: 410},
}

func (f fleet) String() string {
	return fmt.Sprintf("servers=%d/models=%d/organisations=%d/instances=%d", f.servers, f.models, f.organisations, f.instances)
}

func (f fleet) members() []string {
	names := make([]string, f.instances)
	for i := range names {
		names[i] = fmt.Sprint("i", i)
	}
	return names
}

// engine returns an engine with the fleet's servers, all of them warm.
func (f fleet) engine() (*Engine, *config.Snapshot) {
	c := config.Config{Zones: []config.Zone{{Name: "a"}, {Name: "b"}}}
	for tier := 1; tier <= config.TierCount; tier++ {
		c.Classes = append(c.Classes, config.Class{Name: fmt.Sprint("c", tier), Tier: tier})
	}
	for i := range f.models {
		c.Models = append(c.Models, config.Model{Name: fmt.Sprint("m", i), Class: "c1"})
	}
	for i := range f.organisations {
		c.Organisations = append(c.Organisations, config.Organisation{Name: fmt.Sprint("o", i)})
	}
	snapshot := config.NewSnapshot(1, "", c, nil, nil)
	servers := make([]platform.Server, f.servers)
	for i := range servers {
		servers[i] = platform.Server{
			Name: fmt.Sprintf("s%05d", i), Address: "127.0.0.1:1", Zone: []string{"a", "b"}[i%2],
			Model: fmt.Sprint("m", i%f.models), Epoch: 1, State: platform.ServerRunning,
		}
	}
	e := New(Options{Instance: "i0", Zone: "a"})
	e.SetConfig(origin, snapshot)
	e.SetMembers(origin, f.members(), origin)
	e.SetServers(origin, servers)
	for _, s := range servers {
		e.LoadReport(origin, s.Name, engineapi.LoadReport{Epoch: 1, UnixMillis: origin.UnixMilli()})
	}
	return e, snapshot
}

// BenchmarkRequest measures all decisions for one request: admission, routing
// and the end of the attempt.
func BenchmarkRequest(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			e, c := f.engine()
			h := &recordingListener{}
			b.ReportAllocs()
			n := 0
			now := origin
			for b.Loop() {
				n++
				now = now.Add(time.Millisecond)
				r := &traffic.Request{
					Organisation: c.Config.Organisations[n%f.organisations].Name,
					Class:        &c.Config.Classes[n%config.TierCount], Pool: c.Config.Models[n%f.models].Name,
					Idempotent: true, Arrived: now, Gate: &result.Gate{},
				}
				h.targets = h.targets[:0]
				j := e.Submit(now, r, h)
				if len(h.targets) == 0 {
					b.Fatalf("request %d waits", n)
				}
				e.Observe(now, j, traffic.Observation{Target: h.targets[0], Complete: true, OutputTokens: 100})
				e.Finish(now, j)
			}
		})
	}
}

// BenchmarkMemberChange measures a membership change of one instance.
func BenchmarkMemberChange(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			e, _ := f.engine()
			names := f.members()
			now := origin
			for b.Loop() {
				now = now.Add(time.Millisecond)
				names[len(names)-1] = fmt.Sprint("i", now.UnixMilli())
				e.SetMembers(now, names, now)
			}
		})
	}
}

// BenchmarkSnapshot measures applying a configuration.
func BenchmarkSnapshot(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			e, c := f.engine()
			b.ReportAllocs()
			for b.Loop() {
				e.SetConfig(origin, c)
			}
		})
	}
}

// BenchmarkMemory reports the heap size of an engine.
func BenchmarkMemory(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				e, c := f.engine()
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(e)
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}
