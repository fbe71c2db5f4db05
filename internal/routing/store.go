package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Store holds the current snapshot, the Lives of all servers and the members.
// It is not safe for concurrent use.
type Store struct {
	// Members is this instance's view of the members.
	Members *Membership

	snapshot *Snapshot
	config   *config.Snapshot
	servers  []platform.Server
	lives    map[string]*Live
	longest  time.Duration
	// membersSince is when the members last changed; zero before the first list.
	membersSince time.Time
	listed       bool // a list of servers was read
	// first is true while the first list of servers is taken in.
	first bool
}

// NewStore returns a store without configuration and servers.
func NewStore(self string, timing Timing) *Store {
	return &Store{
		Members:  NewMembership(self, timing),
		snapshot: &Snapshot{},
		lives:    map[string]*Live{},
	}
}

// Snapshot returns the current snapshot.
func (s *Store) Snapshot() *Snapshot { return s.snapshot }

// SetConfig puts a configuration in force.
func (s *Store) SetConfig(now time.Time, c *config.Snapshot) {
	s.config = c
	s.longest = 0
	for i := range c.Config.Classes {
		s.longest = max(s.longest, deadlineOf(&c.Config.Classes[i]))
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
	s.first = !s.listed
	s.listed = true
	s.servers = servers
	s.rebuild(now)
}

// SetMembers takes a list of members; see Membership.Update.
func (s *Store) SetMembers(now time.Time, names []string, asOf time.Time) {
	change := s.Members.Update(names, asOf)
	if change.Empty() {
		return
	}
	s.membersSince = now
	for _, l := range s.lives {
		l.owner.apply(now, s.Members, change, l.name, l.ramp.cold)
		l.setCeiling()
	}
}

// setCeiling bounds the concurrency limit by this instance's part of the warm limit.
func (l *Live) setCeiling() {
	l.part = l.owner.Current(l.ramp.warm)
	l.limit.SetCeiling(l.part)
}

func (s *Store) rebuild(now time.Time) {
	if s.config == nil {
		return
	}
	used := make(map[string]*Live, len(s.lives))
	s.snapshot = Build(s.config, s.servers, func(server platform.Server, p *Pool) *Live {
		l := s.live(now, server, p)
		used[server.Name] = l
		return l
	})
	s.forget(used)
}

// forget drops the Lives of servers that are gone and run nothing of ours.
func (s *Store) forget(used map[string]*Live) {
	for name, l := range s.lives {
		if used[name] == nil && l.outstanding == 0 {
			l.ramp.Gone()
			delete(s.lives, name)
		}
	}
}

func (s *Store) live(now time.Time, server platform.Server, p *Pool) *Live {
	l, ok := s.lives[server.Name]
	if !ok {
		l = &Live{name: server.Name, plain: p.Plain}
		l.ramp = NewRamp(now, server.Epoch, p.ColdLimit, p.WarmLimit)
		if s.first {
			l.ramp.SetEstablished()
		}
		l.owner = newOwnership(s.membersSince, s.Members, server.Name, p.ColdLimit)
		l.limit = admission.NewLimit(max(l.owner.Current(p.WarmLimit), 1))
		s.lives[server.Name] = l
	}
	l.longest = s.longest
	if l.ramp.cold != min(p.ColdLimit, p.WarmLimit) {
		l.owner.coldSince = now // its part may have grown
	}
	l.ramp.SetLimits(p.ColdLimit, p.WarmLimit)
	l.setCeiling()
	l.SeeEpoch(now, server.Epoch)
	return l
}

// Live returns what is known of a server by name, nil for an unknown one.
func (s *Store) Live(name string) *Live { return s.lives[name] }
