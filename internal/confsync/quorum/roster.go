package quorum

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Roster is the sorted list of all instances that count, live or not.
type Roster struct {
	Names  []string
	Digest uint64
}

// NewRoster returns the roster of the names, which it sorts.
func NewRoster(names []string) Roster {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	hash := xxhash.New()
	for _, name := range sorted {
		_, _ = hash.WriteString(name)
		_, _ = hash.Write([]byte{0})
	}
	return Roster{Names: sorted, Digest: hash.Sum64()}
}

// Index returns the position of a name, false when the roster lacks it.
func (r Roster) Index(name string) (int, bool) { return slices.BinarySearch(r.Names, name) }

// Acceptance returns how many instances must hold a change before it counts as
// accepted: half, rounded up, and at least one.
func (r Roster) Acceptance() int { return max(1, (len(r.Names)+1)/2) }

// Currency returns how many instances must answer to prove that no accepted
// change is missing: more than half, and the slack.
func (r Roster) Currency() int { return len(r.Names)/2 + 1 + r.Slack() }

// Slack returns how many instances may be replaced between two rosters while
// an acceptance by one and a proof by the other still share an instance: an
// eighth, one from 6 instances on.
func (r Roster) Slack() int { return (len(r.Names) + 2) / 8 }
