package instance

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/enginewatch"
	"github.com/hawthornwick/hawthornwick/internal/member"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// readerInterval is how often the readers of engines are told who is live
// without a change of the members; the regions of availability zones may change.
const readerInterval = time.Second

// provisionEngines builds the reading of load reports and cache events.
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

// regionOf returns the region that the configuration gives an availability zone.
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

// followMembers tells the readers of engines who is live until ctx ends.
func (i *Instance) followMembers(ctx context.Context) {
	for {
		changed := i.members.Changed()
		i.engines.SetMembers(i.readers())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(readerInterval):
		}
	}
}

// readers are the instances that are not known to be down.
func (i *Instance) readers() []platform.Instance {
	var list []platform.Instance
	for _, m := range i.members.Live() {
		list = append(list, platform.Instance{
			Name: m.Name, Zone: m.Zone, Peer: m.Peer, Leaving: m.State == member.Leaving,
		})
	}
	return list
}
