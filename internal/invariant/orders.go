package invariant

import (
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// checkSingleOrderSender reads lease.*, order.sent (Order, Duty, Token) and
// platform.order. Each order is sent by a process that holds the duty's lease
// while no other process considers itself the holder. Fencing tokens take effect
// in order, and no order takes effect twice.
func checkSingleOrderSender(h *history, report reportFunc) {
	tokens := make(tokenOrder)
	effects := make(map[string]bool)
	for _, e := range h.events {
		switch e.Kind {
		case timeline.OrderSent:
			checkLeaseHolder(h, e, report)
		case timeline.PlatformOrder:
			tokens.check(e, report)
			if effects[e.Order] {
				report(e, "order %q took effect twice", e.Order)
			}
			effects[e.Order] = true
		}
	}
}
