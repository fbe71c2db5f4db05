// Package routing chooses a backend server for one attempt: filters drop the
// candidates that must not take it, scorers price the rest in milliseconds, and a
// picker takes one. It is pure: callers pass the time and the randomness.
//
// What the configuration and the platform say is an immutable Snapshot that is
// swapped whole. What this instance saw of a server itself (work in flight, load
// reports, latency, failures, ramp) is in its Live, which outlives snapshots.
package routing
