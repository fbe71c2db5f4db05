package demand

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

func TestObservationSumsInstances(t *testing.T) {
	is := is.New(t)
	c := config.Config{
		Classes: []config.Class{{Name: "status", Tier: 1}, {Name: "draft", Tier: 5, Cheap: true}},
		Models:  []config.Model{{Name: "m", WarmLimit: 32, MaxServers: 4}},
		Zones:   []config.Zone{{Name: "a", Price: 2}, {Name: "b"}},
	}
	snap := config.NewSnapshot(3, "", c, nil, map[string]bool{"b": true})
	reports := []Report{
		{Lines: []Line{{Model: "m", Class: "status", Queued: 1, Running: 2, Answered: 15, InTime: 15}}, Servers: []ServerLoad{{"e1", 2}}},
		{Lines: []Line{{Model: "m", Class: "status", Running: 3, Answered: 5}, {Model: "m", Class: "draft", Queued: 7}}, Servers: []ServerLoad{{"e1", 3}}},
	}
	o := Observation(snap, []platform.Server{{Name: "e1"}, {Name: "e2"}}, reports)
	is.Equal(o.Busy["e1"], 5)
	idle, known := o.Busy["e2"]
	is.True(known && idle == 0)
	is.Equal(o.Zones[1].Out, true)
	is.Equal(len(o.Models[0].Demands), 2)
	status := o.Models[0].Demands[0]
	is.Equal(status.Queued, 1)
	is.Equal(status.Running, 5)
	is.Equal(status.Attainment, 0.75)
	draft := o.Models[0].Demands[1]
	is.Equal(draft.Attainment, -1.0) // too few answers
	is.True(draft.Cheap)
}

func TestRecentForgetsAfterAMinute(t *testing.T) {
	is := is.New(t)
	r := NewRecent()
	start := time.Unix(1_000_000, 0)
	r.Ended(start, "m", "status", true)
	r.Ended(start.Add(30*time.Second), "m", "status", false)
	lines := r.Lines(start.Add(40 * time.Second))
	is.Equal(lines[0].Answered, int64(2))
	is.Equal(lines[0].InTime, int64(1))
	lines = r.Lines(start.Add(70 * time.Second))
	is.Equal(lines[0].Answered, int64(1))
	is.Equal(lines[0].InTime, int64(0))
	is.Equal(len(r.Lines(start.Add(5*time.Minute))), 0)
	is.Equal(len(r.counts), 0)
}

func TestReportSurvivesItsCodec(t *testing.T) {
	is := is.New(t)
	r := Report{Lines: []Line{{Model: "m", Class: "c", Queued: 1}}, Servers: []ServerLoad{{"s", 2}}}
	data, err := r.Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.Equal(back, r)
	_, err = Decode([]byte{0xff})
	is.True(err != nil)
}
