package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
)

// probeTimeout bounds the dial that distinguishes a crashed server from a slow one.
const probeTimeout = 250 * time.Millisecond

// reachability is whether a server accepts connections.
type reachability int

const (
	reachable reachability = iota
	// refused: nothing listens at the address any more, so the server's process ended.
	refused
	// silent: the address did not answer. The server, its machine or the network on
	// the way may be down.
	silent
)

var reachabilityNames = [...]string{reachable: "reachable", refused: "refused", silent: "silent"}

// String returns the name, as used in metrics and the timeline.
func (r reachability) String() string { return reachabilityNames[r] }

// prober checks whether servers still accept connections. Concurrent checks of
// one address share a dial that began after all of them.
type prober struct {
	group singleflight.Group
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

func newProber() *prober { return &prober{dial: (&net.Dialer{}).DialContext} }

// dialResult is what a dial found, and when it began.
type dialResult struct {
	began time.Time
	found reachability
}

// probe connects to the address within probeTimeout. A dial that began before the call does
// not count, since it may have found the server before it crashed.
func (p *prober) probe(address string) reachability {
	earliest := time.Now()
	for {
		shared, _, _ := p.group.Do(address, func() (any, error) { return p.dialOnce(address), nil })
		if result, ok := shared.(dialResult); ok && !result.began.Before(earliest) {
			return result.found
		}
	}
}

func (p *prober) dialOnce(address string) dialResult {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := p.dial(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return dialResult{began: began, found: reachabilityOf(err)}
}

// reachabilityOf classifies the error of a dial.
func reachabilityOf(err error) reachability {
	switch {
	case err == nil:
		return reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return refused
	}
	return silent
}
