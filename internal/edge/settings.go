// Package edge runs one instance that serves HTTP routes in front of backend
// servers which register themselves in the platform's store. It wires the
// followers of the store's tables, the balancer, the gateway and the control
// duties, and stops them gracefully.
package edge

import "time"

// Settings are what one process is told at its start.
type Settings struct {
	// Instance is the process's name among all instances. Required.
	Instance string
	// Zone is its availability zone. Required.
	Zone string
	// Callers and Readiness are the IP and port of the listeners. Required.
	Callers, Readiness string
	// Metrics is the IP and port of the metrics listener. Empty: none.
	Metrics string
	// Peers is the IP and port of the listener for other instances. Empty: none, and
	// every instance reads the store itself.
	Peers string
	// Cores is the share of processors that the process may use. Zero: unknown.
	Cores float64
	// Bounds are the promises that the instances keep together.
	Bounds Bounds
	// Usage says when usage is reported.
	Usage UsageSettings
	// Duties are the control duties that one instance holds for all.
	Duties Duties
	// MemoryBytes is the memory that the process may use. Zero: unlimited.
	MemoryBytes int64
}

// Bounds are the figures of the promises that the instances keep together.
type Bounds struct {
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// Propagation is the time within which a configuration is in force everywhere.
	Propagation time.Duration
	// Leaving is the time within which a backend server that leaves must get no new
	// work.
	Leaving time.Duration
	// Revocation is the time within which a withdrawn key stops working. Zero: an
	// instance that cannot tell goes on.
	Revocation time.Duration
	// RetrySpan, RetryRatio and RetrySlack bound the repeated sends to a service:
	// in any span, the ratio of its requests plus the slack, over all instances.
	RetrySpan  time.Duration
	RetryRatio float64
	RetrySlack float64
	// ColdOvershoot and ColdTolerance relax a service's rate for cold servers.
	ColdOvershoot, ColdTolerance float64
	// Lease is the time within which two holders of a duty must not act in turn.
	Lease time.Duration
}

// UsageSettings say when usage is reported.
type UsageSettings struct {
	// Window is the span of one report. Zero: usage is not reported.
	Window time.Duration
	// Due is the time after a window's end at which its report is due.
	Due time.Duration
}

// Duties are the control duties that one instance holds for all.
type Duties struct {
	Usage   bool // report usage
	Scaling bool // order backend servers
}
