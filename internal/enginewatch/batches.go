package enginewatch

import (
	"slices"
	"strings"
	"time"
)

// maxDigestPrefixes bounds the prefixes in one digest, which keeps it below the
// limit of a message between instances.
const maxDigestPrefixes = 65536

// batches collects the records of a flush by receiver.
type batches map[string]*batch

type batch struct {
	load     []loadRecord
	cache    []cacheRecord
	prefixes int
}

func (b batches) of(peer string) *batch {
	if b[peer] == nil {
		b[peer] = new(batch)
	}
	return b[peer]
}

func (b batches) addLoad(peers []string, r loadRecord) {
	for _, peer := range peers {
		if to := b.of(peer); len(to.load) < maxRecords {
			to.load = append(to.load, r)
		}
	}
}

// addCache drops records beyond the limit; receivers see a gap.
func (b batches) addCache(peers []string, r cacheRecord) {
	n := len(r.Stored) + len(r.Evicted)
	for _, peer := range peers {
		to := b.of(peer)
		if len(to.cache) < maxRecords && to.prefixes+n <= maxDigestPrefixes {
			to.cache = append(to.cache, r)
			to.prefixes += n
		}
	}
}

// outgoing returns the digests in order of receiver.
func (b batches) outgoing(now time.Time) []outgoing {
	list := make([]outgoing, 0, len(b))
	for peer, of := range b {
		list = append(list, outgoing{peer: peer, digest: newDigest(now, of.load, of.cache)})
	}
	slices.SortFunc(list, func(x, y outgoing) int { return strings.Compare(x.peer, y.peer) })
	return list
}
