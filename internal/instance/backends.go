package instance

import (
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// backends combines the platform's list of backend servers with the list of
// servers that drain before they are returned. It is safe for concurrent use.
type backends struct {
	// publish is called with each new list. Calls are serialised.
	publish func([]platform.Server)

	mu       sync.Mutex
	listed   []platform.Server
	draining map[string]time.Time
	listRead bool // listed was set at least once
}

func (b *backends) setListed(list []platform.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = list
	b.listRead = true
	b.publish(b.merged())
}

func (b *backends) setDraining(draining map[string]time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = draining
	if b.listRead {
		b.publish(b.merged())
	}
}

// merged returns the listed servers, with draining ones marked as leaving.
func (b *backends) merged() []platform.Server {
	list := slices.Clone(b.listed)
	for n := range list {
		_, draining := b.draining[list[n].Name]
		if draining && list[n].State == platform.ServerRunning {
			list[n].State = platform.ServerDraining
		}
	}
	return list
}
