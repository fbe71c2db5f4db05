package quorum

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Roster is the sorted list of all instances that count for a quorum, live or
// not.
type Roster struct {
	Names  []string
	Digest uint64
}

// NewRoster returns the roster of the names, in any order.
func NewRoster(names []string) Roster {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	hash := xxhash.New()
	for _, name := range sorted {
		_, _ = hash.WriteString(name)
		_, _ = hash.Write([]byte{0})
	}
	return Roster{Names: sorted, Digest: hash.Sum64()}
}

// Index returns the position of a name, or false if it is not in the roster.
func (r Roster) Index(name string) (int, bool) { return slices.BinarySearch(r.Names, name) }

// AcceptanceQuorum returns how many instances must hold a change before it is
// accepted: half, rounded up, and at least one.
func (r Roster) AcceptanceQuorum() int { return max(1, (len(r.Names)+1)/2) }

// FreshnessQuorum returns how many instances must answer to prove that no
// accepted change is missing: more than half, plus the slack.
func (r Roster) FreshnessQuorum() int { return len(r.Names)/2 + 1 + r.Slack() }

// Slack returns how many instances may be replaced between two rosters such
// that an acceptance quorum of one and a freshness quorum of the other still
// overlap: an eighth, and one from 6 instances on.
func (r Roster) Slack() int { return (len(r.Names) + 2) / 8 }
