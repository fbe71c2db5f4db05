// Package routing chooses a backend server for one attempt. Filters drop the
// candidates that are not eligible, scorers price the others in milliseconds of
// expected delay, and a picker chooses one of them. The package does no I/O:
// callers pass the time and the source of randomness.
//
// The configuration and the platform's server list are compiled into an
// immutable Snapshot, which is replaced as a whole. What this instance observes
// of a server (requests in flight, load reports, latency, failures, ramp) is
// kept in its LiveState, which outlives snapshots.
package routing
