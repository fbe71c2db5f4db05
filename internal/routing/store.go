package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Store holds the current snapshot, the LiveState of all servers and the
// members. It is not safe for concurrent use.
type Store struct {
	// Members is this instance's view of the members.
	Members *Membership

	snapshot    *Snapshot
	config      *config.Snapshot
	servers     []platform.Server
	lives       map[string]*LiveState
	unlisted    advisory.Memory[incarnation, time.Time]
	maxDeadline time.Duration
	// membersSince is when the members last changed. It is zero before the
	// first list.
	membersSince time.Time
	haveServers  bool // a list of servers was received
	// firstList is true while the first list of servers is applied.
	firstList bool
}

// incarnation identifies one run of a server's process.
type incarnation struct {
	server string
	epoch  uint64
}

// NewStore returns a store without configuration and servers.
func NewStore(self string, timing Timing) *Store {
	return &Store{
		Members:  NewMembership(self, timing),
		snapshot: &Snapshot{},
		lives:    map[string]*LiveState{},
	}
}

// Snapshot returns the current snapshot.
func (s *Store) Snapshot() *Snapshot { return s.snapshot }

// SetConfig applies a configuration.
func (s *Store) SetConfig(now time.Time, c *config.Snapshot) {
	s.config = c
	s.maxDeadline = 0
	for i := range c.Config.Classes {
		s.maxDeadline = max(s.maxDeadline, deadlineOf(&c.Config.Classes[i]))
	}
	s.rebuild(now)
}

func deadlineOf(c *config.Class) time.Duration {
	if c.Deadline <= 0 {
		return config.DefaultDeadline
	}
	return time.Duration(c.Deadline)
}

// SetServers replaces the platform's list of model servers.
func (s *Store) SetServers(now time.Time, servers []platform.Server) {
	s.firstList = !s.haveServers
	s.haveServers = true
	s.servers = servers
	s.rebuild(now)
}

// SetMembers replaces the list of members; see Membership.Update.
func (s *Store) SetMembers(now time.Time, names []string, asOf time.Time) {
	change := s.Members.Update(names, asOf)
	if change.Empty() {
		return
	}
	s.membersSince = now
	for _, l := range s.lives {
		l.ownership.apply(now, s.Members, change, l.name, l.ramp.cold)
		l.setCeiling()
	}
}

// setCeiling bounds the concurrency limit by this instance's share of the warm
// limit.
func (l *LiveState) setCeiling() {
	l.share = l.ownership.Share(l.ramp.warm)
	l.limit.SetCeiling(l.share)
}

func (s *Store) rebuild(now time.Time) {
	if s.config == nil {
		return
	}
	used := make(map[string]*LiveState, len(s.lives))
	s.snapshot = Build(s.config, s.servers, func(server platform.Server, p *Pool) *LiveState {
		l := s.liveState(now, server, p)
		used[server.Name] = l
		return l
	})
	s.evict(now, used)
}

// evict drops the state of servers that are no longer listed and have no
// requests of this instance in flight. What they have stated is kept, in case they are
// listed again.
func (s *Store) evict(now time.Time, used map[string]*LiveState) {
	for name, l := range s.lives {
		if used[name] == nil && l.outstanding == 0 {
			s.unlisted.Keep(now, incarnation{server: name, epoch: l.Epoch()}, l.stated)
			l.ramp.Remove()
			delete(s.lives, name)
		}
	}
}

func (s *Store) liveState(now time.Time, server platform.Server, p *Pool) *LiveState {
	l, ok := s.lives[server.Name]
	if !ok {
		l = &LiveState{name: server.Name, plain: p.Plain}
		l.stated = s.unlisted.Take(incarnation{server: server.Name, epoch: server.Epoch})
		l.ramp = NewRamp(now, server.Epoch, p.ColdLimit, p.WarmLimit)
		if s.firstList {
			l.ramp.SetEstablished()
		}
		l.ownership = newOwnership(s.membersSince, s.Members, server.Name, p.ColdLimit)
		l.limit = admission.NewLimit(max(l.ownership.Share(p.WarmLimit), 1))
		s.lives[server.Name] = l
	}
	l.maxDeadline = s.maxDeadline
	if l.ramp.cold != min(p.ColdLimit, p.WarmLimit) {
		l.ownership.coldSince = now // the share may have grown
	}
	l.ramp.SetLimits(p.ColdLimit, p.WarmLimit)
	l.setCeiling()
	l.ObserveEpoch(now, server.Epoch)
	return l
}

// Live returns the state of a server by name, or nil if it is unknown.
func (s *Store) Live(name string) *LiveState { return s.lives[name] }
