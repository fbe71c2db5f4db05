// Package loadexp measures the decisions of placement, admission and routing
// under load in synthetic time: a few instances before fake engines that batch,
// cache prefixes and report late, with unknown answer lengths and one slowed
// availability zone. Equal seeds give equal results. It is no simulator of a
// cluster: there is no network, and only what the decisions see is modelled.
package loadexp
