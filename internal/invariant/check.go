// Package invariant checks the router's promises on the merged timeline of a run.
// It needs only the recorded events, not the processes, so both tests and
// operators can use it.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options configure the checks.
type Options struct {
	// ClockSkew bounds the difference between the clocks of two processes.
	// Zero means that all events have timestamps of one clock.
	ClockSkew time.Duration
	// Complete reports that no ring dropped events, so that an event without its
	// cause is a violation. False means that old events may be missing.
	Complete bool
	// KeyBound is the maximum time after which a withdrawn key must be rejected.
	// Zero means DefaultKeyBound.
	KeyBound time.Duration
	// ZoneBound is the maximum time after which a drained availability zone must
	// receive no new work. Zero means DefaultZoneBound.
	ZoneBound time.Duration
	// LeavingBound is the maximum time after which a leaving backend server must
	// receive no new work. Zero means DefaultLeavingBound.
	LeavingBound time.Duration
	// ConfigBound is the maximum time after which an accepted configuration must
	// be in force on all instances. Zero means DefaultConfigBound.
	ConfigBound time.Duration
	// ColdGracePeriod is the time allowed to detect that a warm backend server
	// turned cold. Zero means DefaultColdGracePeriod.
	ColdGracePeriod time.Duration
	// RequestBound is the maximum duration of a request.
	// Zero means DefaultRequestBound.
	RequestBound time.Duration
	// Floors are the minimum shares of dispatches by class. Classes that are not
	// listed have config.DefaultFloor.
	Floors map[string]float64
	// Only lists the checks to run by name. Empty means all.
	Only []string
}

// Defaults of Options.
const (
	DefaultClockSkew       = 250 * time.Millisecond
	DefaultKeyBound        = 2 * time.Second
	DefaultZoneBound       = 5 * time.Second
	DefaultLeavingBound    = 5 * time.Second
	DefaultConfigBound     = 6 * time.Second
	DefaultColdGracePeriod = 2 * time.Second
	DefaultRequestBound    = 10 * time.Minute
)

// DefaultOptions returns options for timelines of processes on several machines.
func DefaultOptions() Options { return Options{ClockSkew: DefaultClockSkew} }

func (o Options) withDefaults() Options {
	o.KeyBound = cmp.Or(o.KeyBound, DefaultKeyBound)
	o.ZoneBound = cmp.Or(o.ZoneBound, DefaultZoneBound)
	o.LeavingBound = cmp.Or(o.LeavingBound, DefaultLeavingBound)
	o.ConfigBound = cmp.Or(o.ConfigBound, DefaultConfigBound)
	o.ColdGracePeriod = cmp.Or(o.ColdGracePeriod, DefaultColdGracePeriod)
	o.RequestBound = cmp.Or(o.RequestBound, DefaultRequestBound)
	return o
}

// Violation is one violated promise.
type Violation struct {
	// Check is the name of the check.
	Check string `json:"check"`
	// Event is the event that breaks the promise.
	Event timeline.Event `json:"event"`
	// Message describes the violation.
	Message string `json:"message"`
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s %s %s#%d: %s", v.Check,
		v.Event.Time.Format(time.RFC3339Nano), v.Event.Kind, v.Event.Instance, v.Event.Sequence, v.Message)
}

// Info describes one check.
type Info struct {
	Name    string
	Promise string
}

// reportFunc reports a violation at an event.
type reportFunc func(e timeline.Event, format string, args ...any)

type check struct {
	Info
	run func(h *history, report reportFunc)
}

// checks lists the checks in the order of the promises.
var checks = []check{
	{Info{"tier_order", "No higher tier is shed or preempted for a lower one."}, checkTierOrder},
	{Info{"no_starvation", "No class starves."}, checkNoStarvation},
	{Info{"key_scope", "A request runs only for the organisation of its key, no backend server sees the key, and a withdrawn key stops working within seconds."}, checkKeyScope},
	{Info{"single_order_sender", "Orders never come from two processes that each hold the duty's lease in their own view."}, checkSingleOrderSender},
	{Info{"usage_reported_once", "No usage window is reported with different figures or by two lease holders."}, checkUsageReportedOnce},
	{Info{"cold_limit", "A cold backend server gets no more than it bears."}, checkColdLimit},
	{Info{"zone_out", "An availability zone that was taken out gets no new work."}, checkZoneOut},
	{Info{"whole_answer", "A caller gets the whole answer to its own request."}, checkWholeAnswer},
	{Info{"whole_stream", "A stream that is answered in full has no piece missing, none twice, and an end that its server confirmed."}, checkWholeStream},
	{Info{"not_run_is_true", "A refusal marked as not run is true."}, checkNotRunIsTrue},
	{Info{"at_most_once", "A non-idempotent request runs at most once."}, checkAtMostOnce},
	{Info{"leaving_server", "A leaving backend server gets no new work."}, checkLeavingServer},
	{Info{"graceful_stop", "A planned stop cuts off no request."}, checkGracefulStop},
	{Info{"config_in_force", "An accepted configuration is in force everywhere within seconds and never reverts."}, checkConfigInForce},
}

// Checks lists the checks in the order of the promises.
func Checks() []Info {
	infos := make([]Info, 0, len(checks))
	for _, c := range checks {
		infos = append(infos, c.Info)
	}
	return infos
}

// Check runs the checks on the events of all processes, which may be in any order.
// It returns the violations sorted by time.
func Check(events []timeline.Event, o Options) []Violation {
	h := newHistory(timeline.Merge(events), o.withDefaults())
	var found []Violation
	for _, c := range checks {
		if len(o.Only) > 0 && !slices.Contains(o.Only, c.Name) {
			continue
		}
		c.run(h, func(e timeline.Event, format string, args ...any) {
			found = append(found, Violation{Check: c.Name, Event: e, Message: fmt.Sprintf(format, args...)})
		})
	}
	slices.SortStableFunc(found, compareViolations)
	return found
}

func compareViolations(a, b Violation) int {
	return cmp.Or(
		a.Event.Time.Compare(b.Event.Time),
		cmp.Compare(a.Check, b.Check),
		cmp.Compare(a.Message, b.Message),
	)
}
