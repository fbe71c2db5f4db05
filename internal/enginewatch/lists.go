package enginewatch

import (
	"slices"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// sameServers reports whether two lists of servers are equal in the fields that
// a plan depends on.
func sameServers(a, b []platform.Server) bool {
	return slices.EqualFunc(a, b, func(x, y platform.Server) bool {
		return x.Name == y.Name && x.Address == y.Address && x.Zone == y.Zone &&
			x.Model == y.Model && x.State == y.State
	})
}

// sameMembers reports whether two lists contain the same members in any order.
// It sorts both lists.
func sameMembers(a, b []Member) bool {
	byName := func(x, y Member) int { return strings.Compare(x.Name, y.Name) }
	slices.SortFunc(a, byName)
	slices.SortFunc(b, byName)
	return slices.Equal(a, b)
}
