package instance

import (
	"cmp"
	"context"
	"io"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hawthornwick/hawthornwick/internal/clientconn"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/placement"
)

// Ready implements operator.StatusProvider.
func (i *Instance) Ready() (bool, string) {
	state, ready := i.lifecycle.state()
	if ready {
		return true, ""
	}
	return false, "the instance is " + state
}

// Status implements operator.StatusProvider.
func (i *Instance) Status(ctx context.Context) operator.Status {
	state, _ := i.lifecycle.state()
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
		Peers:    i.peerStatus(ctx),
		Duties:   i.dutyStatus(),
		Requests: i.callers.Counts(),
	}
}

// peerStatus returns the status of the other instances in the current membership.
func (i *Instance) peerStatus(ctx context.Context) []operator.PeerStatus {
	view := i.members.View()
	versions := i.peerVersions(ctx)
	connected := i.peers.Connected()
	list := make([]operator.PeerStatus, 0, view.Len())
	for n := range view.Len() {
		m := view.At(n)
		if m.Name == i.settings.Instance {
			continue
		}
		list = append(list, operator.PeerStatus{
			Instance: m.Name, Zone: m.Zone, Up: slices.Contains(connected, m.Name), Version: versions[m.Name],
		})
	}
	return list
}

// peerVersions returns the last reported configuration version of each instance.
func (i *Instance) peerVersions(ctx context.Context) map[string]uint64 {
	reported, err := i.store.InForce(ctx)
	if err != nil {
		i.logger.Debug("cannot read the configuration versions of other instances", "error", err)
	}
	versions := make(map[string]uint64, len(reported))
	for _, v := range reported {
		versions[v.Instance] = v.Version
	}
	return versions
}

// dutyStatus returns the duties whose leases this instance holds.
func (i *Instance) dutyStatus() []operator.DutyStatus {
	var held []operator.DutyStatus
	for _, duty := range duties {
		if token, ok := i.leases.Held(duty); ok {
			held = append(held, operator.DutyStatus{Duty: duty, Token: uint64(token)})
		}
	}
	return held
}

// classStatus sums each class over all pools, sorted by tier and name.
func classStatus(p placement.Status) []operator.ClassStatus {
	sums := make(map[string]operator.ClassStatus)
	for _, pool := range p.Pools {
		for _, c := range pool.Classes {
			sum := sums[c.Name]
			sum.Name, sum.Tier = c.Name, c.Tier
			sum.Queued += c.Waiting
			sum.Running += c.Running
			sums[c.Name] = sum
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b operator.ClassStatus) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Name, b.Name))
	})
}

func serverStatus(p placement.Status) []operator.ServerStatus {
	list := make([]operator.ServerStatus, 0, len(p.Servers))
	for _, s := range p.Servers {
		list = append(list, operator.ServerStatus{
			Name: s.Name, Pool: s.Pool, Zone: s.Zone, State: s.Health, InFlight: s.InFlight, Limit: s.Slots, Cheap: s.Preemptible,
		})
	}
	return list
}

// writeMetrics writes every component's metrics in the Prometheus text format.
func (i *Instance) writeMetrics(w io.Writer) {
	i.callers.WriteMetrics(w)
	writeLoadMetrics(w, i.scheduler.Status())
	metrics.WriteProcessMetrics(w)
	clientconn.WriteMetrics(w, i.guards...)
}
