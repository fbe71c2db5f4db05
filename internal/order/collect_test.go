package order

import (
	"context"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/matryer/is"
)

// fixedConfig is a config.Source whose configuration never changes.
type fixedConfig struct {
	config.Source
	snapshot *config.Snapshot
}

// Current implements config.Source.
func (f fixedConfig) Current() *config.Snapshot { return f.snapshot }

func TestCollectorScalesSample(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	now := time.Date(2031, 5, 4, 10, 0, 0, 0, time.UTC)
	c := NewCollector(CollectorOptions{
		Servers: p.Caller("a").Servers(),
		Config: fixedConfig{snapshot: config.NewSnapshot(1, "", config.Config{
			Classes: []config.Class{{Name: "status", Tier: 2, AllowPreemptible: true}},
			Models:  []config.Model{{Name: "m", MaxServers: 4}},
			Zones:   []config.Zone{{Name: "z1"}, {Name: "z2"}},
		}, nil, map[string]bool{"z2": true})},
		Instances: func() int { return 10 },
		Now:       func() time.Time { return now },
	})
	o, err := c.Observe(t.Context())
	is.NoErr(err)
	is.Equal(len(o.Models), 0) // no summaries: unknown demand is no reason to return servers
	for _, name := range []string{"a", "b"} {
		c.Update(Summary{Instance: name, Loads: []ClassLoad{{Model: "m", Class: "status", Queued: 1, Running: 3, Met: 3, Missed: 1}}})
	}
	o, err = c.Observe(t.Context())
	is.NoErr(err)
	is.Equal(o.Models[0].Demands, []Demand{{Class: "status", Tier: 2, Preemptible: true, Queued: 10, Running: 30, Attainment: 0.75}})
	is.Equal(o.Zones, []Zone{{Name: "z1"}, {Name: "z2", Drained: true}})
	now = now.Add(2 * summaryTTL)
	o, err = c.Observe(t.Context())
	is.NoErr(err)
	is.Equal(len(o.Models), 0) // the summaries have expired
}

func TestHTTPEnginesCheckBeforeSend(t *testing.T) {
	is := is.New(t)
	e, err := engine.Start(engine.Options{Name: "s", Model: "m", Fences: true})
	is.NoErr(err)
	defer e.Close()
	address := e.Address()
	engines := NewHTTPEngines("a")
	defer engines.Close()
	load := engineapi.Order{ID: "1", Token: 2, Kind: engineapi.LoadModel, Model: "n"}
	lost := platform.WithWriteCheck(t.Context(), func() (time.Duration, error) { return 0, &lease.LostError{Duty: Duty} })
	_, err = engines.Order(lost, address, load)
	is.True(err != nil)
	is.Equal(len(e.Orders()), 0)
	result, err := engines.Order(context.Background(), address, load)
	is.NoErr(err)
	is.True(result.Accepted)
	load.ID, load.Token = "2", 1
	result, err = engines.Order(context.Background(), address, load)
	is.NoErr(err)
	is.Equal(result.Accepted, false)
	is.Equal(result.Seen, uint64(2))
	report, err := engines.Load(t.Context(), address)
	is.NoErr(err)
	is.Equal(report.Running, 0)
}
