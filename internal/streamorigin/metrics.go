package streamorigin

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// counts are the registry's counters. Registry.mu guards them.
type counts struct {
	txns, failedTxns uint64
	written, deleted uint64
	rewritten        uint64 // after restores; counted by written as well
	failed           uint64 // streams that could not begin
	baseWrites       uint64
	lookups          map[string]uint64 // by result
}

func (r *Registry) countLookup(result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts.lookups == nil {
		r.counts.lookups = map[string]uint64{}
	}
	r.counts.lookups[result]++
}

// WriteMetrics writes the counters and the known base versions in the Prometheus text format.
func (r *Registry) WriteMetrics(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "hawthornwick_stream_records_written_total %d\n", r.counts.written)
	fmt.Fprintf(w, "hawthornwick_stream_records_deleted_total %d\n", r.counts.deleted)
	fmt.Fprintf(w, "hawthornwick_stream_records_pending %d\n", r.queue.pending())
	fmt.Fprintf(w, "hawthornwick_stream_records_rewritten_total %d\n", r.counts.rewritten)
	fmt.Fprintf(w, "hawthornwick_stream_records_to_rewrite %d\n", len(r.queue.again))
	fmt.Fprintf(w, "hawthornwick_stream_records_failed_total %d\n", r.counts.failed)
	fmt.Fprintf(w, "hawthornwick_stream_record_transactions_total{result=\"ok\"} %d\n", r.counts.txns)
	fmt.Fprintf(w, "hawthornwick_stream_record_transactions_total{result=\"failed\"} %d\n", r.counts.failedTxns)
	for _, result := range slices.Sorted(maps.Keys(r.counts.lookups)) {
		fmt.Fprintf(w, "hawthornwick_stream_origin_lookups_total{result=%q} %d\n", result, r.counts.lookups[result])
	}
	fmt.Fprintf(w, "hawthornwick_stream_base_writes_total %d\n", r.counts.baseWrites)
	for _, service := range slices.Sorted(maps.Keys(r.known.bases)) {
		b := r.known.bases[service]
		fmt.Fprintf(w, "hawthornwick_stream_base{service=%q,version=%q,closed=\"%t\"} %d\n", service, b.version, b.closed, reliedValue(b))
	}
}

// reliedValue is 1 if streams may begin at the base version without a record.
func reliedValue(b knownBase) int {
	if b.relied {
		return 1
	}
	return 0
}
