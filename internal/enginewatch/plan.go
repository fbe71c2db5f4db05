package enginewatch

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// watchersPerServer is the number of instances that route to each server in
	// a large fleet.
	watchersPerServer = 8
	// watchersPerZone bounds the watchers of a server in one availability zone,
	// as long as other zones have enough instances.
	watchersPerZone = watchersPerServer / 2
	// maxSmallFleet is the number of instances up to which every instance
	// routes to every server.
	maxSmallFleet = 16
	// minPoolServers is the minimum number of servers of each model that an
	// instance routes to, if the model has that many.
	minPoolServers = 4
)

// Server is one backend server as input of a Plan.
type Server struct {
	Name   string
	Zone   string
	Region string
	Pool   string // model that it serves
}

// Plan says which instances route to which servers. It depends only on the
// lists of instances and servers, so that instances with the same lists compute
// the same plan. It is immutable once built.
type Plan struct {
	members  []Member
	servers  []Server
	byName   map[string]int32 // index into servers
	watchers [][]uint16       // by server: indexes of members in reader order
}

// NewPlan computes the plan. Each server is assigned to the instances that
// follow it on a consistent-hashing ring, first to those of its region, and no
// more than half of them in one availability zone if other zones have
// instances. Instances with fewer than minPoolServers servers of a model are
// assigned further ones, which precede them on the ring.
func NewPlan(members []Member, servers []Server) *Plan {
	b := newPlanner(members, servers)
	for i := range b.plan.servers {
		b.assign(i)
	}
	b.ensureMinimum()
	return b.plan
}

// Watchers returns the instances that route to a server, in reader order. It
// returns nil if the server is unknown.
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

// memberIndex returns the index of a member, or -1 if it is unknown.
func (p *Plan) memberIndex(name string) int {
	return slices.IndexFunc(p.members, func(m Member) bool { return m.Name == name })
}

// rank returns the position of a member in the reader order of a server, or -1
// if it does not route to the server.
func (p *Plan) rank(server string, member int) int {
	i, ok := p.byName[server]
	if !ok || member < 0 {
		return -1
	}
	return slices.Index(p.watchers[i], uint16(member))
}

// firstReader returns the index of the first reader of a server, which must
// have one.
func (p *Plan) firstReader(server string) uint16 { return p.watchers[p.byName[server]][0] }

// Subset returns the names of the servers that an instance routes to, sorted.
func (p *Plan) Subset(self string) []string {
	m := p.memberIndex(self)
	var names []string
	for i, list := range p.watchers {
		if m >= 0 && slices.Contains(list, uint16(m)) {
			names = append(names, p.servers[i].Name)
		}
	}
	slices.Sort(names)
	return names
}

// Subset returns the names of the servers that self routes to, sorted. Up to
// maxSmallFleet members, all route to every server.
func Subset(members []Member, self string, servers []Server) []string {
	return NewPlan(members, servers).Subset(self)
}

// planner builds a Plan.
type planner struct {
	plan              *Plan
	watchersPerServer int             // number of watchers of each server
	all               ring            // members
	regions           map[string]ring // members by region
	positions         []uint64        // ring position by member
	chosen            []uint16        // reused between servers
	zone              []int           // index of the availability zone by member
	perZone           []int           // number of chosen members by zone; reused between servers
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
		plan:              p,
		watchersPerServer: watchersPerServer,
		regions:           make(map[string]ring),
		positions:         make([]uint64, len(p.members)),
	}
	if len(p.members) <= maxSmallFleet {
		b.watchersPerServer = len(p.members)
	}
	b.buildRings()
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

// buildRings puts the members of each region on a ring, and all members on
// another.
func (b *planner) buildRings() {
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
		b.positions[i] = position(m.Name)
	}
}

// assign chooses the members that route to a server.
func (b *planner) assign(server int) {
	s := &b.plan.servers[server]
	at := position(s.Name)
	b.chosen = b.chosen[:0]
	clear(b.perZone)
	b.addFrom(b.regions[s.Region], at, watchersPerZone)
	b.addFrom(b.all, at, watchersPerZone)
	b.addFrom(b.regions[s.Region], at, b.watchersPerServer)
	b.addFrom(b.all, at, b.watchersPerServer)
	b.orderWatchers(s, at)
	b.plan.watchers[server] = slices.Clone(b.chosen)
}

// addFrom adds members that follow a position on the ring, up to a number per
// availability zone.
func (b *planner) addFrom(r ring, at uint64, zoneLimit int) {
	if len(b.chosen) >= b.watchersPerServer {
		return
	}
	r.walk(at, func(p ringPoint) bool {
		zone := b.zone[p.index]
		if b.perZone[zone] >= zoneLimit || slices.Contains(b.chosen, uint16(p.index)) {
			return true
		}
		b.perZone[zone]++
		b.chosen = append(b.chosen, uint16(p.index))
		return len(b.chosen) < b.watchersPerServer
	})
}

// orderWatchers sorts the chosen members into reader order: members of the
// server's region first, then by rendezvous hashing, which distributes the
// reading evenly. The second reader is of another availability zone than the
// first, so that one of them remains after the loss of a zone.
func (b *planner) orderWatchers(s *Server, at uint64) {
	slices.SortFunc(b.chosen, func(x, y uint16) int {
		return cmp.Or(
			cmp.Compare(b.distance(s, x), b.distance(s, y)),
			cmp.Compare(rendezvousWeight(at, b.positions[y]), rendezvousWeight(at, b.positions[x])),
			cmp.Compare(x, y),
		)
	})
	b.separateZones()
}

func (b *planner) separateZones() {
	for i, m := range b.chosen {
		if b.zone[m] != b.zone[b.chosen[0]] {
			copy(b.chosen[2:i+1], b.chosen[1:i])
			b.chosen[1] = m
			return
		}
	}
}

// distance returns 0 for a member in the server's region, otherwise 1.
func (b *planner) distance(s *Server, member uint16) int {
	if b.plan.members[member].Region == s.Region {
		return 0
	}
	return 1
}
