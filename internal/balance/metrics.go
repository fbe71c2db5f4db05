package balance

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// WriteMetrics writes the metrics of pools and listed servers in the Prometheus
// text format.
func (b *Balancer) WriteMetrics(w io.Writer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		b.pools[name].writeMetrics(w, now)
		b.writePace(w, now, b.pools[name])
	}
}

func (p *pool) writeMetrics(w io.Writer, now boottime.Instant) {
	fmt.Fprintf(w, "hawthornwick_waiting_requests{service=%q} %d\n", p.name, p.waitingRequests())
	fmt.Fprintf(w, "hawthornwick_repeats_total{service=%q,allowed=\"true\"} %d\n", p.name, p.retriesAllowed)
	fmt.Fprintf(w, "hawthornwick_repeats_total{service=%q,allowed=\"false\"} %d\n", p.name, p.retriesDenied)
	fmt.Fprintf(w, "hawthornwick_repeats_left{service=%q} %.1f\n", p.name, p.retryWindow.Remaining(time.Duration(now)))
	suspect, cold, leaving, paused := 0, 0, 0, 0
	var others Load
	for _, s := range p.servers {
		s.writeMetrics(w, now)
		others = others.Add(s.others.at(now))
		if s.suspect(now) {
			suspect++
		}
		if s.cold(now) {
			cold++
		}
		if s.leaving() {
			leaving++
		}
		if s.stated.Paused(now) {
			paused++
		}
	}
	fmt.Fprintf(w, "hawthornwick_others_in_flight{service=%q} %d\n", p.name, others.InFlight)
	if p.hasTight {
		fmt.Fprintf(w, "hawthornwick_tight_servers{service=%q} %d\n", p.name, p.tightSet.count)
		fmt.Fprintf(w, "hawthornwick_slow_servers{service=%q} %d\n", p.name, p.speeds.slow)
		fmt.Fprintf(w, "hawthornwick_tight_streams{service=%q} %.1f\n", p.name, p.tightSet.sensitivity)
		fmt.Fprintf(w, "hawthornwick_mean_pending_prefill_seconds{service=%q} %.3f\n", p.name, p.tightSet.prefillMillis/1000)
	}
	fmt.Fprintf(w, "hawthornwick_excess_loads_total{service=%q} %d\n", p.name, p.excessLoads)
	fmt.Fprintf(w, "hawthornwick_servers{service=%q,state=\"suspect\"} %d\n", p.name, suspect)
	fmt.Fprintf(w, "hawthornwick_servers{service=%q,state=\"cold\"} %d\n", p.name, cold)
	fmt.Fprintf(w, "hawthornwick_servers{service=%q,state=\"leaving\"} %d\n", p.name, leaving)
	fmt.Fprintf(w, "hawthornwick_servers{service=%q,state=\"paused\"} %d\n", p.name, paused)
	fmt.Fprintf(w, "hawthornwick_servers{service=%q,state=\"listed\"} %d\n", p.name, len(p.servers))
}

func (s *server) writeMetrics(w io.Writer, now boottime.Instant) {
	fmt.Fprintf(w, "hawthornwick_server_in_flight{service=%q,server=%q,zone=%q} %d\n", s.Service, s.ID, s.Zone, s.inFlight)
	others := s.others.at(now)
	fmt.Fprintf(w, "hawthornwick_server_others_in_flight{service=%q,server=%q} %d\n", s.Service, s.ID, others.InFlight)
	fmt.Fprintf(w, "hawthornwick_server_others_unread_tokens{service=%q,server=%q} %d\n", s.Service, s.ID, others.PendingPrefill)
	fmt.Fprintf(w, "hawthornwick_server_failure_rate{service=%q,server=%q} %.3f\n", s.Service, s.ID, s.failureRate)
	if s.pauses > 0 {
		fmt.Fprintf(w, "hawthornwick_server_pauses_total{service=%q,server=%q} %d\n", s.Service, s.ID, s.pauses)
	}
	for outcome, count := range s.outcomes {
		if count > 0 {
			fmt.Fprintf(w, "hawthornwick_server_attempts_total{service=%q,server=%q,outcome=%q} %d\n", s.Service, s.ID, Outcome(outcome), count)
		}
	}
}
