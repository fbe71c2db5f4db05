package balance

import (
	"fmt"
	"io"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/pace"
)

// paceCache is the estimate of a server as of a snapshot.
type paceCache struct {
	snapshot *pace.Snapshot
	estimate pace.Estimate
}

// paceOf returns what is known of a server's performance. It looks a server up once for
// each snapshot of the estimates.
func (b *Balancer) paceOf(now boottime.Instant, s *server) pace.Estimate {
	if b.options.Pace == nil {
		return pace.Estimate{}
	}
	if snapshot := b.options.Pace.Snapshot(now); s.pace.snapshot != snapshot {
		s.pace = paceCache{snapshot: snapshot, estimate: snapshot.Lookup(pace.KeyOf(s.ID, s.StartedMillis), s.Service)}
	}
	return s.pace.estimate
}

// setPaceServers tells the collection of estimates which servers are listed.
func (b *Balancer) setPaceServers(list []directory.Server) {
	if b.options.Pace == nil {
		return
	}
	servers := make([]pace.Server, len(list))
	for i, s := range list {
		servers[i] = pace.Server{Key: pace.KeyOf(s.ID, s.StartedMillis), ID: s.ID, Service: s.Service}
	}
	b.options.Pace.SetServers(servers)
}

// writePaceMetrics writes what is known of the server's performance.
func (s *server) writePaceMetrics(w io.Writer, e pace.Estimate) {
	labels := fmt.Sprintf("{service=%q,server=%q}", s.Service, s.ID)
	fmt.Fprintf(w, "hawthornwick_server_relative_time%s %.3f\n", labels, e.Slowness())
	fmt.Fprintf(w, "hawthornwick_server_pace_certainty%s %.3f\n", labels, e.Certainty)
	fmt.Fprintf(w, "hawthornwick_server_prefill_rate%s %.2f\n", labels, e.Rate())
	fmt.Fprintf(w, "hawthornwick_server_event_interval_seconds%s %.4f\n", labels, e.EventInterval.Seconds())
	fmt.Fprintf(w, "hawthornwick_server_longest_gap_seconds%s %.4f\n", labels, e.TypicalGap().Seconds())
}

// writePace writes what is known of the performance of the pool's servers.
func (b *Balancer) writePace(w io.Writer, now boottime.Instant, p *pool) {
	if b.options.Pace == nil {
		return
	}
	for _, s := range p.servers {
		s.writePaceMetrics(w, b.paceOf(now, s))
	}
}
