package instance

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/member"
	"github.com/hawthornwick/hawthornwick/internal/order"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/usage"
)

// leaveTimeout bounds the announcement that this instance stops.
const leaveTimeout = time.Second

// duties are the control tasks of which one instance holds the lease.
var duties = []string{usage.Duty, order.Duty, sweepDuty}

// provisionMembers builds the membership and the leases of duties.
func (i *Instance) provisionMembers() {
	i.members = member.New(member.Options{
		Self: member.Member{
			Name: i.settings.Instance, Zone: i.settings.Zone, Peer: i.peers.Addr().String(),
		},
		Instances: i.platform.Instances(),
		Network:   i.peers,
		Recorder:  i.ring,
		Logger:    i.logger.Named("member"),
	})
	i.leases = lease.NewManager(lease.Options{
		Instance: i.settings.Instance,
		Table:    i.platform.Table(),
		Duties:   duties,
		Members:  i.dutyCandidates,
		Recorder: i.ring,
		Logger:   i.logger.Named("lease"),
	})
}

// dutyCandidates returns the live instances that may hold duties.
func (i *Instance) dutyCandidates() []string {
	var names []string
	for _, m := range i.members.Live() {
		if m.State == member.Alive || m.State == member.Suspect {
			names = append(names, m.Name)
		}
	}
	return names
}

// self returns this instance's entry in the platform's list.
func (i *Instance) self() platform.Instance {
	return platform.Instance{
		Name:     i.settings.Instance,
		Zone:     i.settings.Zone,
		Peer:     i.peers.Addr().String(),
		Draining: i.leaving.Load(),
	}
}

func (i *Instance) setServers(list []platform.Server) {
	i.scheduler.SetServers(list)
	i.engines.SetServers(list)
}

// setMembers passes to the scheduler the instances that may share the backend
// servers: those listed by the platform and the live members.
func (i *Instance) setMembers(list []platform.Instance, requestedAt time.Time) {
	known := make(map[string]bool, len(list))
	names := make([]string, 0, len(list))
	add := func(name string) {
		if !known[name] {
			known[name] = true
			names = append(names, name)
		}
	}
	for _, in := range list {
		add(in.Name)
	}
	for _, m := range i.members.Live() {
		if m.Name != i.settings.Instance {
			add(m.Name)
		}
	}
	i.scheduler.SetMembers(names, requestedAt)
}

// announceLeave informs the other instances that this one stops.
func (i *Instance) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	i.members.Leave(ctx)
}
