// Package edge runs one instance that serves HTTP routes in front of backend
// servers that register themselves in the platform's store. It connects the
// followers of the store's tables, the balancer, the gateway and the control
// duties, and stops them gracefully.
package edge

import "time"

// Settings configure one instance at its start.
type Settings struct {
	// Instance is the unique name of this instance. Required.
	Instance string
	// Zone is its availability zone. Required.
	Zone string
	// CallersAddress and ReadinessAddress are the IP and port of the listeners. Required.
	CallersAddress, ReadinessAddress string
	// MetricsAddress is the IP and port of the metrics listener. Empty means that there is
	// none.
	MetricsAddress string
	// PeersAddress is the IP and port of the listener for other instances. Empty means that
	// there is none; if all instances have none, each of them reads the store
	// directly.
	PeersAddress string
	// Cores is the number of processor cores that the process may use. Zero means
	// unknown.
	Cores float64
	// Bounds are the guarantees that all instances provide together.
	Bounds Bounds
	// Usage configures the reports of usage.
	Usage UsageSettings
	// Duties are the control duties that this instance may hold.
	Duties Duties
	// Bootstrap is true only when the whole system starts for the first time.
	Bootstrap bool
	// Store are the rates of the platform's store.
	Store StoreRates
	// MemoryBytes is the memory that the process may use. Zero means no limit.
	MemoryBytes int64
}

// Bounds are the limits that all instances guarantee together.
type Bounds struct {
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// Propagation is the time within which a new configuration is in force on all
	// instances.
	Propagation time.Duration
	// Leaving is the time after which a draining backend server must not receive
	// new requests.
	Leaving time.Duration
	// Revocation is the time within which a withdrawn key stops working. An instance
	// that cannot verify this refuses requests with keys. Zero means that it
	// accepts them.
	Revocation time.Duration
	// RetrySpan, RetryRatio and RetrySlack bound the retries of requests to a
	// service over all instances: in any RetrySpan, at most
	// RetryRatio * requests + RetrySlack.
	RetrySpan  time.Duration
	RetryRatio float64
	RetrySlack float64
	// ColdOvershoot and ColdTolerance relax a service's ColdRate.
	ColdOvershoot, ColdTolerance float64
	// CanaryShare and CanaryTolerance bound what a bad version receives during a rollout:
	// at most CanaryShare * requests + CanaryTolerance. Rollback is the time after its 50th
	// bad response from which it receives none. If CanaryShare or Rollback is zero, orders
	// for rollouts are ignored.
	CanaryShare, CanaryTolerance float64
	Rollback                     time.Duration
	// Lease is the time within which two instances must not act as holders of a
	// duty one after the other.
	Lease time.Duration
}

// StoreRates are the calls per second that the store takes from all instances together. Zero means
// unknown.
type StoreRates struct {
	Reads      float64 // calls that read
	Writes     float64 // calls that write
	PartWrites float64 // transactions of one part
}

// UsageSettings configure the reports of usage.
type UsageSettings struct {
	// Window is the length of the period that one report covers. Zero means that
	// usage is not reported.
	Window time.Duration
	// Due is the time from a window's end until its report is due.
	Due time.Duration
}

// Duties select the control duties that an instance may hold. At any time one
// instance holds them for all.
type Duties struct {
	Usage   bool // report usage
	Scaling bool // order backend servers
}
