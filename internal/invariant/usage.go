package invariant

import (
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// usageLine identifies one line of a usage report. For a late line, subject is the
// earlier window that it belongs to.
type usageLine struct{ window, organisation, class, service, subject string }

// checkUsageReportedOnce reads lease.*, usage.frozen, usage.reported and
// platform.usage, one event per line of the report (Window, Organisation, Class,
// Service, Count; Subject for late lines). All figures of a line agree, and each
// report is sent by the only process that holds the duty's lease.
func checkUsageReportedOnce(h *history, report reportFunc) {
	tokens := make(tokenOrder)
	figures := make(map[usageLine]int64)
	for _, e := range h.events {
		switch e.Kind {
		case timeline.UsageFrozen:
		case timeline.UsageReported:
			checkLeaseHolder(h, e, report)
		case timeline.PlatformUsage:
			tokens.check(e, report)
		default:
			continue
		}
		checkFigure(figures, e, report)
	}
}

func checkFigure(figures map[usageLine]int64, e timeline.Event, report reportFunc) {
	line := usageLine{e.Window, e.Organisation, e.Class, e.Service, e.Subject}
	count, seen := figures[line]
	if !seen {
		figures[line] = e.Count
		return
	}
	if count != e.Count {
		report(e, "window %q of organisation %q has %d tokens, previously %d", e.Window, e.Organisation, e.Count, count)
	}
}
