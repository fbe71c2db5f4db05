// Package sharedlimit divides a rate limit of one backend server among the instances,
// which send to it without asking each other. Each instance has a share of the requests
// that any window of time may hold; the shares sum to the limit. Nothing here blocks or
// reads a clock.
package sharedlimit

import "time"

// rateWindow is the window of a rate. A shorter one would hold less than one request of
// a low rate.
const rateWindow = 4 * time.Second

// Limit allows Total requests in any Window, summed over all instances.
type Limit struct {
	Total  int
	Window time.Duration
}

// PerSecond returns the limit for a rate in requests per second, which must be positive.
func PerSecond(rate float64) Limit {
	if total := int(rate * rateWindow.Seconds()); total > 0 {
		return Limit{Total: total, Window: rateWindow}
	}
	return Limit{Total: 1, Window: time.Duration(float64(time.Second) / rate)}
}

// Share returns how many of total requests belong to the member with the given rank, from
// 0. The shares of all members sum to total. Increasing total never decreases a share.
func Share(total, rank, members int) int {
	n := total / members
	if rank < total%members {
		n++
	}
	return n
}
