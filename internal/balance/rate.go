package balance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/sharedlimit"
)

// Two limits bound the requests per second of a server, summed over all instances: that of
// a cold server, which the configuration states, and one that the server names itself.
// Each instance keeps within its share of them. Instances are ranked for each server by
// rendezvous hashing, so that they agree on the shares without asking each other.

const (
	// coldUtilisation is the part of a cold server's rate limit that is used. The rest
	// is a safety margin.
	coldUtilisation = 0.85
	// coldRateWindow is the window of a cold server's limit. It is slightly longer than
	// the second of the configured rate.
	coldRateWindow = time.Second + 50*time.Millisecond
	// rankPeriod is the time after which instances are ranked anew for the limits that
	// servers name, so that no instance is without a share for good.
	rankPeriod = 20 * time.Second
)

// coldLimit returns the limit of a cold server. The result is false if the service has
// none.
func (b *Balancer) coldLimit(p *pool) (sharedlimit.Limit, bool) {
	if p.spec.ColdRate <= 0 {
		return sharedlimit.Limit{}, false
	}
	total := int(coldUtilisation * (p.spec.ColdRate*b.options.ColdOvershoot + b.options.ColdTolerance))
	if n := b.instances(); total > n {
		total -= total % n // equal shares leave room for an instance that others do not know of yet
	}
	return sharedlimit.Limit{Total: total, Window: coldRateWindow}, true
}

// mayAdd reports whether one more request keeps this instance within its shares of the
// server's limits.
func (b *Balancer) mayAdd(now boottime.Instant, p *pool, s *server) bool {
	if s.cold(now) {
		if len(b.members) == 0 {
			return false
		}
		if limit, ok := b.coldLimit(p); ok && !s.sends.Allow(now, limit.Window, b.share(s, limit.Total, fixedPeriod)) {
			return false
		}
	}
	rate := s.stated.RateLimit(now)
	if rate == 0 {
		return true
	}
	limit := sharedlimit.PerSecond(rate)
	return s.sends.Allow(now, limit.Window, b.namedShare(s, limit))
}

// namedShare returns this instance's share of the limit that a server names. Within a
// window after instances were ranked anew, the earlier ranking counts as well, since its
// requests are in the window.
func (b *Balancer) namedShare(s *server, limit sharedlimit.Limit) int {
	now := b.options.Wall().UnixNano()
	period := now / int64(rankPeriod)
	share := b.share(s, limit.Total, period)
	if now%int64(rankPeriod) < int64(limit.Window) {
		share = min(share, b.share(s, limit.Total, period-1))
	}
	return share
}

// nextRanking returns the time until instances are ranked anew and the new shares count.
func (b *Balancer) nextRanking(limit sharedlimit.Limit) time.Duration {
	return rankPeriod - time.Duration(b.options.Wall().UnixNano()%int64(rankPeriod)) + limit.Window
}

// fixedPeriod is the period of a ranking that does not change with time.
const fixedPeriod = -1

// share returns this instance's share of total requests to a server, as ranked in a period.
func (b *Balancer) share(s *server, total int, period int64) int {
	if len(b.members) == 0 {
		return 0
	}
	return sharedlimit.Share(total, b.rank(s, period), len(b.members))
}

// ranking is a cached rank of this instance.
type ranking struct {
	period  int64
	members uint64 // Balancer.membersVersion
	rank    int
	known   bool
}

// rank returns this instance's rank among the members for a server, from 0.
func (b *Balancer) rank(s *server, period int64) int {
	cached := &s.ranks[uint64(period)%uint64(len(s.ranks))]
	if cached.known && cached.period == period && cached.members == b.membersVersion {
		return cached.rank
	}
	*cached = ranking{period: period, members: b.membersVersion, rank: b.computeRank(s.ID, period), known: true}
	return cached.rank
}

func (b *Balancer) computeRank(id string, period int64) int {
	key := xxhash.Sum64String(id)
	if period != fixedPeriod {
		key = rendezvous(uint64(period), id)
	}
	own := rendezvous(key, b.options.Instance)
	rank := 0
	for _, name := range b.members {
		if rendezvous(key, name) > own {
			rank++
		}
	}
	return rank
}

// recordSend counts a request that is sent to a server.
func (b *Balancer) recordSend(now boottime.Instant, s *server) {
	share := 0
	if rate := s.stated.RateLimit(now); rate > 0 {
		share = b.namedShare(s, sharedlimit.PerSecond(rate))
	}
	s.sends.Add(now, share)
}

// rendezvous returns the weight of a name for a key (highest random weight
// hashing).
func rendezvous(key uint64, name string) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(buffer[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}
