package replicas

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// reorderInterval is the time after which an unfulfilled order is placed again,
	// and unavailableBackoff how long a zone without available servers gets no
	// order.
	reorderInterval    = 8 * time.Second
	unavailableBackoff = time.Second
	// minLossShare is the share of an order's servers whose loss is made up for at
	// once, without waiting for reorderInterval.
	minLossShare = 0.1
)

// orderKey identifies what an order applies to.
type orderKey struct {
	service, zone string
	preemptible   bool
}

type placedOrder struct {
	count     int
	placedAt  boottime.Instant
	fulfilled bool // as many servers were running at some time since
	most      int  // servers that were running at the same time since
}

// orderBook holds the last order for each kind of server in each zone, and which
// of them the platform could not fulfil.
type orderBook struct {
	orders      map[orderKey]placedOrder
	running     map[orderKey]int              // as observed last
	unavailable map[orderKey]boottime.Instant // end of the backoff
}

func newOrderBook() *orderBook {
	return &orderBook{orders: map[orderKey]placedOrder{}, running: map[orderKey]int{}, unavailable: map[orderKey]boottime.Instant{}}
}

func (b *orderBook) placed(now boottime.Instant, o Order) {
	key := orderKey{o.Service, o.Zone, o.Preemptible}
	delete(b.unavailable, key)
	b.orders[key] = placedOrder{count: o.Count, placedAt: now, most: b.running[key]}
}

func (b *orderBook) refused(now boottime.Instant, o Order) {
	key := orderKey{o.Service, o.Zone, o.Preemptible}
	delete(b.orders, key)
	b.unavailable[key] = now.Add(unavailableBackoff)
}

// scarce reports whether preemptible servers cannot be had: the platform refused the
// last order, or has not fulfilled it within startTime and reorderInterval.
func (b *orderBook) scarce(now boottime.Instant, key orderKey, startTime time.Duration) bool {
	if _, refused := b.unavailable[key]; refused {
		return true
	}
	last, ordered := b.orders[key]
	return ordered && !last.fulfilled && now.Sub(last.placedAt) >= startTime+reorderInterval
}

// orderedAtLeast reports whether the last order was for count servers or more.
func (b *orderBook) orderedAtLeast(key orderKey, count int) bool {
	last, ordered := b.orders[key]
	return ordered && last.count >= count
}

// observe updates the order with the number of running servers.
func (b *orderBook) observe(key orderKey, running int) {
	b.running[key] = running
	last, ordered := b.orders[key]
	if !ordered {
		return
	}
	last.most = max(last.most, running)
	last.fulfilled = last.fulfilled || running >= last.count
	b.orders[key] = last
}

// due reports whether an order for count servers is to be placed now.
func (b *orderBook) due(now boottime.Instant, key orderKey, count, running int) bool {
	if now.Before(b.unavailable[key]) {
		return false
	}
	last, ordered := b.orders[key]
	if !ordered {
		return count != running
	}
	if last.count != count {
		return true
	}
	// The servers of a zone leave within some hundred milliseconds, so that an order may be
	// placed when only a part of them has left.
	if lost := min(last.most, count) - running; float64(lost) > minLossShare*float64(count) {
		return true
	}
	return count != running && now.Sub(last.placedAt) >= reorderInterval
}
