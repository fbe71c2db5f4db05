package guardconn

import (
	"context"
	"net"
	"sync"
)

// Conns are the open connections by the address that was dialled. The zero value is
// empty. It is safe for concurrent use.
type Conns struct {
	mu        sync.Mutex
	byAddress map[string]map[*Conn]struct{}
}

// Dial returns a dial function whose connections are tracked until they are closed. dial
// must return a *Conn, as the functions returned by Dial do.
func (c *Conns) Dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled, err := dial(ctx, network, address)
		if conn, ok := dialled.(*Conn); ok && err == nil {
			c.add(address, conn)
		}
		return dialled, err
	}
}

func (c *Conns) add(address string, conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddress == nil {
		c.byAddress = map[string]map[*Conn]struct{}{}
	}
	if c.byAddress[address] == nil {
		c.byAddress[address] = map[*Conn]struct{}{}
	}
	c.byAddress[address][conn] = struct{}{}
	conn.onClose = func() { c.remove(address, conn) }
}

func (c *Conns) remove(address string, conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byAddress[address], conn)
	if len(c.byAddress[address]) == 0 {
		delete(c.byAddress, address)
	}
}

// CloseUnused closes the connections to an address whose attempts have all ended; see
// Permit.End. An attempt that takes such a connection at the same moment cannot write to
// it, unless it has done so already.
func (c *Conns) CloseUnused(address string) {
	for _, conn := range c.unused(address) {
		_ = conn.Close()
	}
}

func (c *Conns) unused(address string) []*Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unused []*Conn
	for conn := range c.byAddress[address] {
		if p := conn.permit.Load(); p != nil && p.ended.Load() {
			unused = append(unused, conn)
		}
	}
	return unused
}
