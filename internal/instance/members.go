package instance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

// self is this instance's entry in the platform's list.
func (i *Instance) self() platform.Instance {
	return platform.Instance{
		Name:    i.settings.Instance,
		Zone:    i.settings.Zone,
		Peer:    i.peers.Addr().String(),
		Leaving: i.leaving.Load(),
	}
}

func (i *Instance) setServers(list []platform.Server) {
	i.scheduler.SetServers(list)
	i.engines.setServers(list)
}

func (i *Instance) setInstances(list []platform.Instance, asked time.Time) {
	names := make([]string, 0, len(list))
	members := make([]spread.Member, 0, len(list))
	for _, in := range list {
		names = append(names, in.Name)
		members = append(members, spread.Member{Name: in.Name, Zone: in.Zone})
	}
	i.scheduler.SetMembers(names, asked)
	i.peers.SetPeers(list)
	view := spread.NewView(members)
	i.view.Store(&view)
}
