package routing

import (
	"slices"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Candidate is one backend server as configuration and platform describe it.
type Candidate struct {
	platform.Server
	Region      string
	ZoneDrained bool // its availability zone is drained
	// ZoneIndex numbers the availability zone within the pool.
	ZoneIndex int
	Live      *LiveState
}

// Pool is the set of candidates that serve one model or plain service.
type Pool struct {
	Name  string
	Plain bool
	// ColdLimit and WarmLimit bound the requests in flight over all instances.
	ColdLimit, WarmLimit int
	DependsOn            []string
	Candidates           []*Candidate
	Zones                []string // by ZoneIndex
}

// Snapshot is one version of all pools. It is immutable once built.
type Snapshot struct {
	Pools   map[string]*Pool
	Servers map[string]*Candidate
}

// Build compiles a configuration and the platform's list of model servers.
// lives returns the LiveState of a server; it is called once per server.
func Build(c *config.Snapshot, servers []platform.Server, lives func(platform.Server, *Pool) *LiveState) *Snapshot {
	b := builder{
		config: c,
		lives:  lives,
		result: &Snapshot{Pools: map[string]*Pool{}, Servers: map[string]*Candidate{}},
	}
	for i := range c.Config.Models {
		b.addModel(&c.Config.Models[i])
	}
	for i := range c.Config.Services {
		b.addService(&c.Config.Services[i])
	}
	for _, s := range servers {
		b.add(s, s.Model)
	}
	for _, p := range b.result.Pools {
		slices.SortFunc(p.Candidates, func(x, y *Candidate) int {
			return strings.Compare(x.Name, y.Name)
		})
	}
	return b.result
}

type builder struct {
	config *config.Snapshot
	lives  func(platform.Server, *Pool) *LiveState
	result *Snapshot
}

func (b *builder) addModel(m *config.Model) {
	b.result.Pools[m.Name] = &Pool{
		Name:      m.Name,
		ColdLimit: orDefault(m.ColdLimit, config.DefaultColdLimit),
		WarmLimit: orDefault(m.WarmLimit, config.DefaultWarmLimit),
	}
}

func (b *builder) addService(s *config.Service) {
	limit := orDefault(s.Limit, config.DefaultServiceLimit)
	b.result.Pools[s.Name] = &Pool{
		Name:      s.Name,
		Plain:     true,
		ColdLimit: limit,
		WarmLimit: limit,
		DependsOn: s.DependsOn,
	}
	for _, e := range s.Servers {
		b.add(platform.Server{
			Name:    s.Name + "/" + e.Address,
			Address: e.Address,
			Zone:    e.Zone,
			Service: s.Name,
			State:   platform.ServerRunning,
		}, s.Name)
	}
}

func (b *builder) add(s platform.Server, poolName string) {
	p := b.result.Pools[poolName]
	if p == nil || s.State == platform.ServerRemoved {
		return
	}
	c := &Candidate{
		Server:      s,
		Region:      b.region(s.Zone),
		ZoneDrained: b.config.ZoneDrained(s.Zone),
		ZoneIndex:   p.zoneIndex(s.Zone),
		Live:        b.lives(s, p),
	}
	p.Candidates = append(p.Candidates, c)
	b.result.Servers[s.Name] = c
}

func (b *builder) region(zone string) string {
	for _, z := range b.config.Config.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

func (p *Pool) zoneIndex(zone string) int {
	if i := slices.Index(p.Zones, zone); i >= 0 {
		return i
	}
	p.Zones = append(p.Zones, zone)
	return len(p.Zones) - 1
}

// Available reports whether the pool has a server that accepts requests, now or
// once it has a free slot.
func (p *Pool) Available() bool {
	return slices.ContainsFunc(p.Candidates, (*Candidate).Usable)
}

// Usable reports whether the server accepts new requests, apart from free
// slots.
func (c *Candidate) Usable() bool {
	return c.State == platform.ServerRunning && !c.ZoneDrained && !c.Live.Leaving()
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
