package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

func TestEstablishedServerWarmAtFirstReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRamp(now, 1, 1, 8)
	r.SetEstablished()
	is.True(!r.Warm()) // unknown before the first report
	r.ApplyReport(now, engineapi.LoadReport{Epoch: 1}, 0)
	is.True(r.Warm())
}

func TestRestartClearsEstablished(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRamp(now, 1, 1, 8)
	r.SetEstablished()
	is.True(r.ObserveEpoch(now, 2))
	r.ApplyReport(now, engineapi.LoadReport{Epoch: 2}, 0)
	is.True(!r.Warm())
}

func TestEstablishedServerReportsCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRamp(now, 1, 1, 8)
	r.SetEstablished()
	r.ApplyReport(now, engineapi.LoadReport{Epoch: 1, ColdRemaining: 3}, 0)
	r.ApplyReport(now, engineapi.LoadReport{Epoch: 1}, 0)
	is.True(!r.Warm()) // a server that reported itself cold must ramp up
}

func TestNewServerWithSettledMembers(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	s := NewStore("a", Timing{})
	s.SetConfig(start, coldConfig(4))
	s.SetServers(start, nil)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		s.SetMembers(now, []string{"a"}, now)
	}
	later := start.Add(time.Minute)
	s.SetServers(later, []platform.Server{{Name: "new", Model: "m", State: platform.ServerRunning, Epoch: 1}})
	is.Equal(s.Live("new").Slots(later, s.Members), 4)
}

func TestNewServerWithUnsettledMembers(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	s := NewStore("a", Timing{})
	s.SetConfig(start, coldConfig(4))
	s.SetServers(start, nil)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		s.SetMembers(now, []string{"a", "b"}, now)
	}
	later := start.Add(time.Minute)
	s.SetMembers(later, []string{"a"}, later) // b may still have requests on its slots
	s.SetServers(later, []platform.Server{{Name: "new", Model: "m", State: platform.ServerRunning, Epoch: 1}})
	is.Equal(s.Live("new").Slots(later, s.Members), 0)
}

func coldConfig(limit int) *config.Snapshot {
	return config.NewSnapshot(1, "", config.Config{
		Models: []config.Model{{Name: "m", ColdLimit: limit, WarmLimit: 32}},
	}, nil, nil)
}
