package instance

import (
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// backends joins the platform's list of backend servers with the servers that
// drain before their return. It is safe for concurrent use.
type backends struct {
	// publish takes each new list; calls do not overlap.
	publish func([]platform.Server)

	mu       sync.Mutex
	listed   []platform.Server
	draining map[string]time.Time
	known    bool // a list was read
}

func (b *backends) setListed(list []platform.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = list
	b.known = true
	b.publish(b.joined())
}

func (b *backends) setDraining(draining map[string]time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = draining
	if b.known {
		b.publish(b.joined())
	}
}

// joined lists the servers with draining ones as leaving.
func (b *backends) joined() []platform.Server {
	list := slices.Clone(b.listed)
	for n := range list {
		_, draining := b.draining[list[n].Name]
		if draining && list[n].State == platform.ServerRunning {
			list[n].State = platform.ServerLeaving
		}
	}
	return list
}
