package instance

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hawthornwick/hawthornwick/internal/placement"
)

// writeLoadMetrics writes gauges for queues and backend servers. Pools and classes
// come from the current configuration, servers from the platform's latest list.
func writeLoadMetrics(w io.Writer, p placement.Status) {
	metrics.WriteGaugeUint64(w, "hawthornwick_members", uint64(p.Members))
	for _, pool := range p.Pools {
		label := fmt.Sprintf("{pool=%q}", pool.Name)
		gauge(w, "hawthornwick_pool_slots", label, pool.Slots)
		gauge(w, "hawthornwick_pool_in_flight", label, pool.InFlight)
		for _, c := range pool.Classes {
			label := fmt.Sprintf("{pool=%q,class=%q}", pool.Name, c.Name)
			gauge(w, "hawthornwick_class_queued", label, c.Waiting)
			gauge(w, "hawthornwick_class_running", label, c.Running)
			metrics.WriteGaugeFloat64(w, "hawthornwick_class_retries_left"+label, c.Retries)
		}
	}
	for _, s := range p.Servers {
		label := fmt.Sprintf("{server=%q,pool=%q,zone=%q}", s.Name, s.Pool, s.Zone)
		gauge(w, "hawthornwick_server_in_flight", label, s.InFlight)
		gauge(w, "hawthornwick_server_slots", label, s.Slots)
		state := fmt.Sprintf("{server=%q,pool=%q,zone=%q,state=%q}", s.Name, s.Pool, s.Zone, s.Health)
		gauge(w, "hawthornwick_server_state", state, 1)
	}
}

func gauge(w io.Writer, name, label string, value int) {
	metrics.WriteGaugeUint64(w, name+label, uint64(max(value, 0)))
}
