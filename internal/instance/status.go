package instance

import (
	"context"
	"io"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/placement"
)

// Ready implements operator.StatusProvider.
func (i *Instance) Ready() (bool, string) {
	state, ready := i.life.state()
	if ready {
		return true, ""
	}
	return false, "the instance is " + state
}

// Status implements operator.StatusProvider.
func (i *Instance) Status(context.Context) operator.Status {
	state, _ := i.life.state()
	ready, reason := i.Ready()
	p := i.scheduler.Status()
	return operator.Status{
		Instance: i.settings.Instance,
		Zone:     i.settings.Zone,
		Region:   i.settings.Region,
		State:    state,
		Ready:    ready,
		Reason:   reason,
		Started:  i.started,
		Classes:  classStatus(p),
		Servers:  serverStatus(p),
		Peers:    i.peerStatus(),
		Requests: i.callers.Counts(),
	}
}

// peerStatus lists the other instances of the newest membership.
func (i *Instance) peerStatus() []operator.PeerStatus {
	view := i.members.View()
	connected := i.peers.Connected()
	list := make([]operator.PeerStatus, 0, view.Len())
	for n := range view.Len() {
		m := view.At(n)
		if m.Name == i.settings.Instance {
			continue
		}
		list = append(list, operator.PeerStatus{
			Instance: m.Name, Zone: m.Zone, Up: slices.Contains(connected, m.Name),
		})
	}
	return list
}

func classStatus(p placement.Status) []operator.ClassStatus {
	var list []operator.ClassStatus
	for _, pool := range p.Pools {
		for _, c := range pool.Classes {
			list = append(list, operator.ClassStatus{Name: c.Name, Tier: c.Tier, Queued: c.Waiting})
		}
	}
	return list
}

func serverStatus(p placement.Status) []operator.ServerStatus {
	list := make([]operator.ServerStatus, 0, len(p.Servers))
	for _, s := range p.Servers {
		list = append(list, operator.ServerStatus{
			Name: s.Name, Zone: s.Zone, State: s.Health, InFlight: s.InFlight, Limit: s.Slots, Cheap: s.Cheap,
		})
	}
	return list
}

// writeMetrics writes every component's metrics in the Prometheus text format.
func (i *Instance) writeMetrics(w io.Writer) {
	i.callers.WriteMetrics(w)
	metrics.WriteProcessMetrics(w)
}
