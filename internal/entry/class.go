package entry

import (
	"net/http"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// chooseClass returns the class that the caller's header names, else the
// organisation's, else the route's.
func chooseClass(snap *config.Snapshot, h http.Header, org *config.Organisation, routeClass string, gate *result.Gate) (*config.Class, *result.Error) {
	name := routeClass
	if org != nil && org.Class != "" {
		name = org.Class
	}
	if asked := h.Get(ClassHeader); asked != "" {
		name = asked
	}
	class := snap.Class(name)
	if class == nil {
		return nil, gate.Refuse(result.UnknownClass, "the configuration has no class %q", name)
	}
	return class, nil
}
