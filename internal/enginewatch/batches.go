package enginewatch

import (
	"slices"
	"strings"
	"time"
)

// maxDigestPrefixes bounds the prefixes in one digest. It keeps the digest
// below the size limit of messages between instances.
const maxDigestPrefixes = 65536

// batches collects the records of one flush by receiving instance.
type batches map[string]*batch

type batch struct {
	load     []loadRecord
	cache    []cacheRecord
	prefixes int
}

func (b batches) forPeer(peer string) *batch {
	if b[peer] == nil {
		b[peer] = new(batch)
	}
	return b[peer]
}

func (b batches) addLoad(peers []string, r loadRecord) {
	for _, peer := range peers {
		if to := b.forPeer(peer); len(to.load) < maxRecords {
			to.load = append(to.load, r)
		}
	}
}

// addCache adds a record for each peer. Records that exceed the limits of a
// digest are dropped; the receiver then detects a gap.
func (b batches) addCache(peers []string, r cacheRecord) {
	n := len(r.Stored) + len(r.Evicted)
	for _, peer := range peers {
		to := b.forPeer(peer)
		if len(to.cache) < maxRecords && to.prefixes+n <= maxDigestPrefixes {
			to.cache = append(to.cache, r)
			to.prefixes += n
		}
	}
}

// outgoing returns the digests, sorted by receiver.
func (b batches) outgoing(now time.Time) []outgoingDigest {
	list := make([]outgoingDigest, 0, len(b))
	for peer, records := range b {
		list = append(list, outgoingDigest{peer: peer, digest: newDigest(now, records.load, records.cache)})
	}
	slices.SortFunc(list, func(x, y outgoingDigest) int { return strings.Compare(x.peer, y.peer) })
	return list
}
