package gateway

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/singleflight"
)

// probeTimeout bounds the dial that distinguishes a crashed server from a slow one.
const probeTimeout = 250 * time.Millisecond

// prober checks whether servers still accept connections. Concurrent checks of
// one address share a dial.
type prober struct{ group singleflight.Group }

func newProber() *prober { return &prober{} }

// isUnreachable reports whether the address does not accept a connection within
// probeTimeout.
func (p *prober) isUnreachable(address string) bool {
	result, _, _ := p.group.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return true, nil
		}
		_ = c.Close()
		return false, nil
	})
	unreachable, ok := result.(bool)
	return ok && unreachable
}
