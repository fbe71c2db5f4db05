package enginewatch

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// covers is the number of instances that route to each server in a large fleet.
	covers = 8
	// zoneCovers is the number of covers in one availability zone, if there are
	// enough instances in others.
	zoneCovers = covers / 2
	// smallFleet is the number of instances up to which all route to every server.
	smallFleet = 16
	// poolMinimum is the number of servers of each model that an instance routes
	// to at least, if the model has that many.
	poolMinimum = 4
)

// Server is one backend server as a Plan sees it.
type Server struct {
	Name   string
	Zone   string
	Region string
	Pool   string // model that it serves
}

// Plan says which instances route to which servers. It is computed from the
// lists alone, so instances with the same lists compute the same plan. It is not
// changed once built.
type Plan struct {
	members  []Member
	servers  []Server
	byName   map[string]int32 // index of a server
	watchers [][]uint16       // members by server, in the order in which they read it
}

// NewPlan computes the plan. Each server is routed to by the instances that
// follow it on a ring of hashes, those of its region first, with no more than
// half of them in one availability zone where others have instances. Instances
// left with too few servers of a model take those before them on the ring.
func NewPlan(members []Member, servers []Server) *Plan {
	b := newPlanner(members, servers)
	for i := range b.plan.servers {
		b.cover(i)
	}
	b.topUp()
	return b.plan
}

// Watchers returns the instances that route to a server, in the order in which
// they read it; nil for an unknown server.
func (p *Plan) Watchers(server string) []string {
	i, ok := p.byName[server]
	if !ok {
		return nil
	}
	names := make([]string, 0, len(p.watchers[i]))
	for _, m := range p.watchers[i] {
		names = append(names, p.members[m].Name)
	}
	return names
}

// member returns the index of a member, -1 for an unknown one.
func (p *Plan) member(name string) int {
	return slices.IndexFunc(p.members, func(m Member) bool { return m.Name == name })
}

// rank returns the place of a member among the readers of a server, -1 when it
// does not route to it.
func (p *Plan) rank(server string, member int) int {
	i, ok := p.byName[server]
	if !ok || member < 0 {
		return -1
	}
	return slices.Index(p.watchers[i], uint16(member))
}

// first returns the index of the first reader of a server with readers.
func (p *Plan) first(server string) uint16 { return p.watchers[p.byName[server]][0] }

// Subset returns the servers that an instance routes to, in order of name.
func (p *Plan) Subset(self string) []string {
	m := p.member(self)
	var names []string
	for i, list := range p.watchers {
		if m >= 0 && slices.Contains(list, uint16(m)) {
			names = append(names, p.servers[i].Name)
		}
	}
	slices.Sort(names)
	return names
}

// Subset returns the names of the servers that self routes to, in order. Up to
// smallFleet members all route to every server.
func Subset(members []Member, self string, servers []Server) []string {
	return NewPlan(members, servers).Subset(self)
}

// planner builds a Plan.
type planner struct {
	plan    *Plan
	covers  int             // of each server
	all     ring            // members
	regions map[string]ring // members by region
	at      []uint64        // position by member
	chosen  []uint16        // reused between servers
	zone    []int           // number of the availability zone by member
	perZone []int           // chosen by zone; reused between servers
}

func newPlanner(members []Member, servers []Server) *planner {
	byName := func(a, b Member) int { return strings.Compare(a.Name, b.Name) }
	p := &Plan{members: slices.SortedFunc(slices.Values(members), byName)}
	p.members = slices.CompactFunc(p.members, func(a, b Member) bool { return a.Name == b.Name })
	p.servers = slices.SortedFunc(slices.Values(servers), func(a, b Server) int {
		return strings.Compare(a.Name, b.Name)
	})
	p.byName = make(map[string]int32, len(p.servers))
	for i, s := range p.servers {
		p.byName[s.Name] = int32(i)
	}
	p.watchers = make([][]uint16, len(p.servers))
	b := &planner{
		plan:    p,
		covers:  covers,
		regions: make(map[string]ring),
		at:      make([]uint64, len(p.members)),
	}
	if len(p.members) <= smallFleet {
		b.covers = len(p.members)
	}
	b.place()
	b.numberZones()
	return b
}

func (b *planner) numberZones() {
	numbers := make(map[string]int)
	b.zone = make([]int, len(b.plan.members))
	for i, m := range b.plan.members {
		n, ok := numbers[m.Zone]
		if !ok {
			n = len(numbers)
			numbers[m.Zone] = n
		}
		b.zone[i] = n
	}
	b.perZone = make([]int, len(numbers))
}

// place puts the members of each region on a ring.
func (b *planner) place() {
	indexes := make(map[string][]int)
	for i, m := range b.plan.members {
		indexes[m.Region] = append(indexes[m.Region], i)
	}
	for region, list := range indexes {
		b.regions[region] = newRing(b.plan.members, list)
		b.all = append(b.all, b.regions[region]...)
	}
	b.all.sort()
	for i, m := range b.plan.members {
		b.at[i] = position(m.Name)
	}
}

// cover chooses the members that route to a server.
func (b *planner) cover(server int) {
	s := &b.plan.servers[server]
	at := position(s.Name)
	b.chosen = b.chosen[:0]
	clear(b.perZone)
	b.take(b.regions[s.Region], at, zoneCovers)
	b.take(b.all, at, zoneCovers)
	b.take(b.regions[s.Region], at, b.covers)
	b.take(b.all, at, b.covers)
	b.order(s, at)
	b.plan.watchers[server] = slices.Clone(b.chosen)
}

// take adds members from a position on, up to a number per availability zone.
func (b *planner) take(r ring, at uint64, zoneLimit int) {
	if len(b.chosen) >= b.covers {
		return
	}
	r.walk(at, func(p place) bool {
		zone := b.zone[p.index]
		if b.perZone[zone] >= zoneLimit || slices.Contains(b.chosen, uint16(p.index)) {
			return true
		}
		b.perZone[zone]++
		b.chosen = append(b.chosen, uint16(p.index))
		return len(b.chosen) < b.covers
	})
}

// order sorts the chosen members: those of the server's region first, by
// rendezvous hashing, which spreads the reading evenly. The second one is of
// another availability zone than the first, so that the loss of a zone leaves
// one of them.
func (b *planner) order(s *Server, at uint64) {
	slices.SortFunc(b.chosen, func(x, y uint16) int {
		return cmp.Or(
			cmp.Compare(b.distance(s, x), b.distance(s, y)),
			cmp.Compare(affinity(at, b.at[y]), affinity(at, b.at[x])),
			cmp.Compare(x, y),
		)
	})
	b.splitZones()
}

func (b *planner) splitZones() {
	for i, m := range b.chosen {
		if b.zone[m] != b.zone[b.chosen[0]] {
			copy(b.chosen[2:i+1], b.chosen[1:i])
			b.chosen[1] = m
			return
		}
	}
}

// distance is 0 in the server's region, else 1.
func (b *planner) distance(s *Server, member uint16) int {
	if b.plan.members[member].Region == s.Region {
		return 0
	}
	return 1
}
