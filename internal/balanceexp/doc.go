// Package balanceexp simulates days of load on real balancers with simulated
// engines, in virtual time and without a network. Equal seeds give equal results.
// Each day tests one difficulty: a burst, a dominant organisation, a hot prompt
// prefix, slow, failing or crashed servers, small caches, or callers that retry
// immediately. docs/design/0091-emulated-days.md describes the days.
package balanceexp
