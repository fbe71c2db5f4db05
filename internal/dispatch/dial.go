package dispatch

import (
	"context"
	"fmt"
	"net"
	"time"
)

type connectTimeoutKey struct{}

// withConnectTimeout bounds dials made on behalf of ctx.
func withConnectTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, connectTimeoutKey{}, d)
}

func guardedDial(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		timeout, ok := ctx.Value(connectTimeoutKey{}).(time.Duration)
		if !ok {
			timeout = DefaultTimeouts.Connect
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect to %s: %w", address, err)
		}
		return &guardedConn{Conn: c}, nil
	}
}
