package edge

import (
	"slices"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/fanout"
	"github.com/hawthornwick/hawthornwick/internal/reports"
)

// roster selects the instances from which this one receives load reports. It follows
// the sharing of the tables:
//
//	reader of one zone <-> readers of all zones
//	follower           <-  its source
//
// so that the number of reports that an instance receives does not grow with the
// number of instances.
type roster struct {
	instance, zone string
	group          *fanout.Group

	mu      sync.Mutex
	members []fanout.Member
}

var _ reports.Roster = (*roster)(nil)

func (r *roster) setMembers(members []fanout.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
}

// follows reports whether this instance reads the tables from a source of its zone.
func (r *roster) follows() bool {
	sources := fanout.Sources(r.members, r.zone)
	return len(sources) > 0 && !slices.ContainsFunc(sources, r.isSelf)
}

func (r *roster) isSelf(m fanout.Member) bool { return m.Name == r.instance }

// Upstream implements reports.Roster.
func (r *roster) Upstream() []reports.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.follows() {
		if source, ok := r.group.Source(); ok {
			return []reports.Peer{peer(source, reports.RelationSource)}
		}
		return nil
	}
	var peers []reports.Peer
	for _, m := range fanout.StoreReaders(r.members) {
		if !r.isSelf(m) && m.Address != "" {
			peers = append(peers, peer(m, reports.RelationPeer))
		}
	}
	return peers
}

// Follower implements reports.Roster.
func (r *roster) Follower(instance string) (reports.Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if m.Name == instance && m.Address != "" {
			return peer(m, reports.RelationFollower), true
		}
	}
	return reports.Peer{}, false
}

func peer(m fanout.Member, relation reports.Relation) reports.Peer {
	return reports.Peer{Instance: m.Name, Address: m.Address, Token: m.Token, Relation: relation}
}
