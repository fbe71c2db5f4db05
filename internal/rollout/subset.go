package rollout

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the servers that canary requests go to: the fraction of the given
// servers, at least one, with the highest rendezvous weights for the order. All instances
// choose the same ones without messages, and each carries the load per server that the
// version will have with all traffic.
func Subset(o Order, servers []string, fraction float64) map[string]bool {
	n := min(max(int(math.Round(fraction*float64(len(servers)))), 1), len(servers))
	ranked := make([]weighted, 0, len(servers))
	for _, id := range servers {
		ranked = append(ranked, weighted{id, xxhash.Sum64String(o.Service + "\x00" + o.To + "\x00" + id)})
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.id, b.id))
	})
	subset := make(map[string]bool, n)
	for _, r := range ranked[:n] {
		subset[r.id] = true
	}
	return subset
}

// weighted is a server with its rendezvous weight.
type weighted struct {
	id     string
	weight uint64
}
