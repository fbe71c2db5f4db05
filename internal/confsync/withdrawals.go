package confsync

import (
	"maps"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// Withdrawals is a set of keys whose withdrawal is in force but not confirmed
// in the table service. Merging is commutative and idempotent, so messages
// between instances may be reordered or repeated.
type Withdrawals map[config.KeyDigest]struct{}

// Merge returns the union and reports whether it is larger than w.
func (w Withdrawals) Merge(digests []config.KeyDigest) (Withdrawals, bool) {
	var merged Withdrawals
	for _, d := range digests {
		if _, ok := w[d]; ok {
			continue
		}
		if merged == nil {
			merged = make(Withdrawals, len(w)+len(digests))
			maps.Copy(merged, w)
		}
		merged[d] = struct{}{}
	}
	if merged == nil {
		return w, false
	}
	return merged, true
}

// Settle returns the set without the withdrawals that the state contains.
func (w Withdrawals) Settle(s State) Withdrawals {
	settled := maps.Clone(w)
	maps.DeleteFunc(settled, func(d config.KeyDigest, _ struct{}) bool {
		return s.keys[d].Withdrawn
	})
	return settled
}

// Digests returns the set in ascending order.
func (w Withdrawals) Digests() []config.KeyDigest {
	return slices.Sorted(maps.Keys(w))
}
