package edge

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/clientconn"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// serveMetrics answers with all metrics in the Prometheus text format. They are collected
// before the first write to the client: some are written while a lock is held that each
// request needs, and a client may read slowly.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	e.writeMetrics(&text)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(text.Bytes())
}

func (e *Edge) writeMetrics(w io.Writer) {
	e.gateway.WriteMetrics(w)
	e.balancer.WriteMetrics(w)
	e.pace.WriteMetrics(w)
	e.view.writeMetrics(w)
	e.duties.writeMetrics(w)
	e.rollouts.writeMetrics(w)
	if e.origins != nil {
		e.origins.WriteMetrics(w)
	}
	if e.adapter != nil {
		e.adapter(w)
	}
	fmt.Fprintf(w, "hawthornwick_ready %d\n", boolToInt(e.Ready()))
	e.members.writeMetrics(w)
	e.sharing.group.WriteMetrics(w)
	e.sharing.hub.WriteMetrics(w)
	e.suspects.WriteMetrics(w)
	e.sink.WriteMetrics(w)
	clientconn.WriteMetrics(w, e.guards...)
}

func (v *storeView) writeMetrics(w io.Writer) {
	now := boottime.Now()
	if t := v.Table(); t != nil {
		fmt.Fprintf(w, "hawthornwick_configuration_version %d\n", t.Version)
	}
	writeTable(w, operatorsTable, v.operators, now)
	writeTable(w, serversTable, v.servers, now)
}

// writeTable writes how old the rows of a table are, and up to which number of the store's
// transactions they were read.
func writeTable(w io.Writer, table string, f *tablefeed.Follower, now boottime.Instant) {
	fmt.Fprintf(w, "hawthornwick_table_age_seconds{table=%q} %.3f\n", table, now.Sub(f.CurrentAsOf()).Seconds())
	fmt.Fprintf(w, "hawthornwick_table_version{table=%q} %d\n", table, platform.NumberOf(f.Version()))
}

func (m *members) writeMetrics(w io.Writer) {
	currentAsOf := m.follower.CurrentAsOf()
	fmt.Fprintf(w, "hawthornwick_members %d\n", len(m.live()))
	writeTable(w, instancesTable, m.follower, boottime.Now())
	fmt.Fprintf(w, "hawthornwick_load_report_age_seconds %.3f\n", m.board.OldestAge(currentAsOf).Seconds())
}

func (d *duties) writeMetrics(w io.Writer) {
	fmt.Fprintf(w, "hawthornwick_usage_windows_open %d\n", d.meter.Open())
	token, held := d.leases.Held(controlDuty)
	fmt.Fprintf(w, "hawthornwick_lease_held{duty=%q} %d\n", controlDuty, boolToInt(held))
	if held {
		fmt.Fprintf(w, "hawthornwick_lease_token{duty=%q} %d\n", controlDuty, token)
		if d.closer != nil {
			fmt.Fprintf(w, "hawthornwick_usage_windows_unreported %d\n", d.closer.Unreported())
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
