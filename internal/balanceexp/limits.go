package balanceexp

import (
	"math"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/balance"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' tolerance for a server that
	// names a rate limit: in any limitWindow it may get limitFactor times what the limit
	// allows and limitSlack requests more, from instances that have known of the limit
	// for toldFor.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldFor     = 500 * time.Millisecond
	// limitSteps is the number of steps in which a falling limit halves.
	limitSteps = 3
	// restartTime is the time for which a restarting instance is away, and maxListLag the
	// longest time until another instance learns that it has left or returned.
	restartTime = 4 * time.Second
	maxListLag  = time.Second
)

// limitedArrival is one request that reached a server while it named a limit.
type limitedArrival struct {
	at    time.Duration
	limit float64
	told  bool // its instance had known of the limit for toldFor
}

// state reports to the instance what the head of a server's answer states.
func (c *call) state() {
	s := c.server
	c.assignment.Observe(balance.Answer{Advisory: advisory.Advisory{RateLimit: s.limit}})
	if _, ok := s.toldAt[c.instance]; s.limit > 0 && !ok {
		s.toldAt[c.instance] = c.world.now
	}
}

// recordArrival records a request that reaches a server.
func (w *world) recordArrival(s *server, instance int) {
	if s.limit == 0 {
		return
	}
	told, ok := s.toldAt[instance]
	s.limited = append(s.limited, limitedArrival{at: w.now, limit: s.limit, told: ok && w.now >= told+toldFor})
}

// setLimits makes the first servers of the day's share name a limit. Zero ends it.
func (w *world) setLimits(limit float64) {
	for _, s := range w.firstServers(w.experiment.Day.LimitedShare) {
		s.limit = limit
		if limit == 0 {
			s.toldAt = map[int]time.Duration{}
		}
	}
}

// scheduleLimits schedules the day's limits.
func (w *world) scheduleLimits() {
	d := w.experiment.Day
	if d.LimitedShare == 0 {
		return
	}
	w.runAt(d.from, func() { w.setLimits(d.Limit) })
	if d.LimitFalls {
		for step := 1; step <= limitSteps; step++ {
			at := d.from + time.Duration(step)*(d.to-d.from)/(limitSteps+1)
			w.runAt(at, func() { w.setLimits(d.Limit * math.Pow(0.5, float64(step))) })
		}
	}
	w.runAt(d.to, func() { w.setLimits(0) })
}

// scheduleRestarts restarts the instances in turn during the disturbance. Each one forgets
// what it knew, and the others learn with a delay that it has left and returned.
func (w *world) scheduleRestarts() {
	d := w.experiment.Day
	if d.RestartEvery == 0 {
		return
	}
	next := 0
	for at := d.from; at+restartTime < d.to && next < w.experiment.Instances; at += d.RestartEvery {
		i := next
		next++
		w.runAt(at, func() { w.leave(i) })
		w.runAt(at+restartTime, func() { w.rejoin(i) })
	}
}

func (w *world) leave(i int) {
	w.away[i] = true
	w.spreadMembers()
}

func (w *world) rejoin(i int) {
	w.balancers[i] = w.newBalancer(i)
	delete(w.away, i)
	for _, s := range w.servers {
		delete(s.toldAt, i)
	}
	w.balancers[i].SetMembers(w.liveNames())
	w.listServers()
	w.spreadMembers()
}

// spreadMembers gives each instance the present list of instances after a delay of its own.
func (w *world) spreadMembers() {
	names := w.liveNames()
	for _, b := range w.balancers {
		w.runAt(w.now+time.Duration(w.random.Float64()*float64(maxListLag)), func() { b.SetMembers(names) })
	}
}

func (w *world) liveNames() []string {
	var names []string
	for i := range w.experiment.Instances {
		if !w.away[i] {
			names = append(names, instanceName(i))
		}
	}
	return names
}

// liveInstance returns the instance that takes a request in place of the given one, which
// may be away.
func (w *world) liveInstance(i int) int {
	for w.away[i] {
		i = (i + 1) % w.experiment.Instances
	}
	return i
}

// recordLimits adds the results of a server's limits.
func (r *Result) recordLimits(s *server) {
	for i, first := range s.limited {
		count, limit := 0, first.limit
		for _, a := range s.limited[i:] {
			if a.at >= first.at+limitWindow {
				break
			}
			limit = max(limit, a.limit)
			if a.told {
				count++
			}
		}
		allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
		r.LimitExcess = max(r.LimitExcess, count-int(allowed))
	}
	r.LimitedRequests += len(s.limited)
}

// limitDays returns the days on which servers name limits.
func limitDays() []Day {
	return []Day{
		{Name: "named limit", LimitedShare: 0.1, Limit: 1},
		{Name: "low limit", LimitedShare: 0.1, Limit: 0.3},
		{Name: "falling limit", LimitedShare: 0.1, Limit: 4, LimitFalls: true},
		{Name: "several limits", LimitedShare: 0.4, Limit: 1},
		{Name: "all limited", LimitedShare: 1, Limit: 2},
		{Name: "loose limit", LimitedShare: 0.1, Limit: 5},
		{Name: "limit in burst", LimitedShare: 0.2, Limit: 1, BurstFactor: 1.7},
		{Name: "limit, restarts", LimitedShare: 0.2, Limit: 1, RestartEvery: 2 * time.Second},
	}
}
