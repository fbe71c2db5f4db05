package faultmatrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/scheduler"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const (
	overloadTime    = 60 * time.Second
	arrivalInterval = 2 * time.Millisecond // over all instances
	serviceTime     = 400 * time.Millisecond
	overloadSeed    = 7
	overloadServers = 4
	coldRemaining   = 6 // of the server that restarts
)

var overloadClasses = []config.Class{
	{Name: "status", Tier: 1, Floor: 0.1, QueueTimeout: config.Duration(10 * time.Minute), Deadline: config.Duration(10 * time.Minute)},
	{Name: "label", Tier: 3, Floor: 0.1, QueueTimeout: config.Duration(10 * time.Minute), Deadline: config.Duration(10 * time.Minute)},
	{Name: "draft", Tier: 5, Floor: 0.05, QueueTimeout: config.Duration(10 * time.Minute), Deadline: config.Duration(10 * time.Minute)},
}

// overload sends two schedulers several times the load that their servers can
// serve. The servers start cold.
type overload struct {
	snapshot   *config.Snapshot
	schedulers []*scheduler.Scheduler
	rings      []*timeline.Ring
	running    sync.WaitGroup
	epoch      atomic.Uint64 // of server s0, which restarts once
}

func newOverload() *overload {
	o := &overload{snapshot: config.NewSnapshot(1, "", config.Config{
		Organisations: []config.Organisation{{Name: "large"}, {Name: "small"}},
		Classes:       overloadClasses,
		Models:        []config.Model{{Name: "m", Class: "draft", ColdLimit: 2, WarmLimit: 8}},
		Zones:         []config.Zone{{Name: "a"}},
	}, nil, nil)}
	for i := range 2 {
		name := fmt.Sprint("i", i)
		ring := timeline.NewRing(name, 1<<17, nil)
		o.rings = append(o.rings, ring)
		o.schedulers = append(o.schedulers, scheduler.New(scheduler.Options{Instance: name, Zone: "a", Seed: uint64(i), Recorder: ring}))
	}
	return o
}

// refresh updates the schedulers with configuration, members, servers and load
// reports, as an instance does.
func (o *overload) refresh() {
	var servers []platform.Server
	for i := range overloadServers {
		servers = append(servers, platform.Server{
			Name: fmt.Sprint("s", i), Address: "127.0.0.1:1", Zone: "a", Model: "m", Epoch: o.epochOf(fmt.Sprint("s", i)), State: platform.ServerRunning,
		})
	}
	for _, s := range o.schedulers {
		s.SetConfig(o.snapshot)
		s.SetMembers([]string{"i0", "i1"}, time.Now())
		s.SetServers(servers)
		for _, server := range servers {
			s.LoadReport(server.Name, engineapi.LoadReport{
				Epoch: server.Epoch, UnixMillis: time.Now().UnixMilli(), ColdRemaining: int(server.Epoch-1) * coldRemaining,
			})
		}
	}
}

func (o *overload) epochOf(server string) uint64 {
	if server == "s0" {
		return 1 + o.epoch.Load()
	}
	return 1
}

func (o *overload) run() {
	random := rand.New(rand.NewPCG(overloadSeed, overloadSeed))
	for i := 0; i < int(overloadTime/arrivalInterval); i++ {
		if i == int(overloadTime/arrivalInterval)/8 {
			o.epoch.Add(1)
		}
		if i%500 == 0 {
			o.refresh()
		}
		instance := random.IntN(2)
		class := overloadClasses[random.IntN(len(overloadClasses))].Name
		organisation := "large"
		if random.IntN(10) == 0 {
			organisation = "small"
		}
		o.running.Go(func() { o.serve(instance, fmt.Sprint("r", i), class, organisation) })
		time.Sleep(arrivalInterval)
	}
	o.running.Wait()
}

// serve admits and runs one request, as an instance does.
func (o *overload) serve(instance int, id, class, organisation string) {
	record := o.rings[instance].Record
	r := &traffic.Request{
		ID: id, Organisation: organisation, Class: o.snapshot.Class(class), Pool: "m",
		Idempotent: true, Arrived: time.Now(), Gate: &result.Gate{}, Deadline: time.Now().Add(10 * time.Minute),
	}
	ticket, refusal := o.schedulers[instance].Admit(context.Background(), r)
	if refusal != nil {
		record(timeline.Event{Kind: timeline.RequestRefused, Request: id, Class: class, Code: refusal.Code, NotRun: refusal.NotRun()})
		return
	}
	defer ticket.Done()
	target := ticket.First()
	attempt := timeline.Event{Request: id, Attempt: "a" + id, Server: target.Server, Zone: target.Zone, Idempotent: true}
	attempt.Kind = timeline.AttemptSent
	record(attempt)
	time.Sleep(serviceTime)
	attempt.Kind = timeline.AttemptAnswered
	record(attempt)
	ticket.Observe(traffic.Observation{Target: target, Epoch: o.epochOf(target.Server), FirstToken: serviceTime / 2, OutputTokens: 10, Complete: true})
}

// TestOverload guards against violations of tier order, class floors and the limits
// of cold servers under overload.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload()
		for range 30 { // instances use a cold server's slots only after their views have agreed for a while
			o.refresh()
			time.Sleep(time.Second)
		}
		o.run()
		var events []timeline.Event
		kinds := make(map[timeline.Kind]int)
		for _, ring := range o.rings {
			some, _ := ring.Snapshot()
			events = append(events, some...)
		}
		for _, e := range events {
			kinds[e.Kind]++
		}
		for _, kind := range []timeline.Kind{timeline.RequestRefused, timeline.RequestQueued, timeline.RequestShed, timeline.ServerLimit, timeline.AttemptSent} {
			if kinds[kind] == 0 {
				t.Errorf("no %s event under overload", kind)
			}
		}
		floors := make(map[string]float64)
		for _, c := range overloadClasses {
			floors[c.Name] = c.Floor
		}
		for _, v := range invariant.Check(events, invariant.Options{Floors: floors}) {
			t.Error(v)
		}
	})
}
