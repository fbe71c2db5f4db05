package instance

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/enginewatch"
	"github.com/hawthornwick/hawthornwick/internal/member"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// engineMembersInterval is how often the member list is updated when membership
// does not change. The regions of availability zones may change in the configuration.
const engineMembersInterval = time.Second

// provisionEngines builds the subscriber to engines' load reports and cache events.
func (i *Instance) provisionEngines() {
	i.engines = enginewatch.New(enginewatch.Options{
		Instance: i.settings.Instance,
		Zone:     i.settings.Zone,
		RegionOf: i.regionOf,
		Peers:    i.peers,
		Sink:     i.scheduler,
		Recorder: i.ring,
		Logger:   i.logger.Named("engines"),
	})
}

// regionOf returns the configured region of an availability zone, or an empty
// string if it is not known.
func (i *Instance) regionOf(zone string) string {
	snapshot := i.store.Current()
	if snapshot == nil {
		return ""
	}
	for _, z := range snapshot.Config.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// syncEngineMembers passes the live members to the engine watch until ctx ends.
func (i *Instance) syncEngineMembers(ctx context.Context) {
	for {
		changed := i.members.Changed()
		i.engines.SetMembers(i.engineMembers())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(engineMembersInterval):
		}
	}
}

// engineMembers returns the live instances for the engine watch. Those marked
// Leaving read no engines on behalf of others.
func (i *Instance) engineMembers() []platform.Instance {
	var list []platform.Instance
	for _, m := range i.members.Live() {
		list = append(list, platform.Instance{
			Name: m.Name, Zone: m.Zone, Peer: m.Peer, Draining: m.State == member.Leaving,
		})
	}
	return list
}
