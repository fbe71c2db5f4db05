// Package loadexp measures the decisions of placement, admission and routing
// under load in synthetic time. A few instances send requests to simulated engines
// with batching, prefix caches and delayed load reports; answer lengths are unknown
// in advance, and one availability zone is slowed. Equal seeds give equal results.
// The simulation covers only the inputs of the decisions; there is no network.
package loadexp
