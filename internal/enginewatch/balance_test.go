package enginewatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// balanceSim simulates a fleet in virtual time. Each instance draws two servers
// of its subset and picks the one with fewer requests in flight, counting its
// own and, weighted by age, those of the server's last report.
type balanceSim struct {
	random         *rand.Rand
	subsets        [][]int
	inFlight       []int // by server
	own            [][]int
	reports        []balanceReport
	reportInterval time.Duration // between two reports of a server; 0 means no reports
	endTimes       map[time.Duration][]balanceRun
}

type balanceReport struct {
	at       time.Duration
	inFlight int
}

type balanceRun struct{ instance, server int }

const (
	balanceStep         = 20 * time.Millisecond
	balanceMeanDuration = 12500 * time.Millisecond // mean duration of a request
	balanceMeanInFlight = 25                       // mean per server
	balanceHalfLife     = 2 * time.Second          // of a report, as in package routing
)

func newBalanceSim(members []Member, servers []Server, watchers int, reportInterval time.Duration) *balanceSim {
	b := newPlanner(members, servers)
	b.watchersPerServer = watchers
	for i := range servers {
		b.assign(i)
	}
	b.ensureMinimum()
	s := &balanceSim{
		random:         newRand(11),
		subsets:        make([][]int, len(members)),
		inFlight:       make([]int, len(servers)),
		own:            make([][]int, len(members)),
		reports:        make([]balanceReport, len(servers)),
		reportInterval: reportInterval,
		endTimes:       make(map[time.Duration][]balanceRun),
	}
	for server, watchers := range b.plan.watchers {
		for _, m := range watchers {
			s.subsets[m] = append(s.subsets[m], server)
		}
	}
	for i := range s.own {
		s.own[i] = make([]int, len(servers))
	}
	return s
}

func (s *balanceSim) price(now time.Duration, instance, server int) float64 {
	own := s.own[instance][server]
	if s.reportInterval == 0 {
		return float64(own)
	}
	r := s.reports[server]
	weight := math.Exp2(-float64(now-r.at) / float64(balanceHalfLife))
	return float64(own) + weight*float64(max(r.inFlight-own, 0))
}

func (s *balanceSim) start(now time.Duration) {
	instance := s.random.IntN(len(s.subsets))
	list := s.subsets[instance]
	server, other := list[s.random.IntN(len(list))], list[s.random.IntN(len(list))]
	if s.price(now, instance, other) < s.price(now, instance, server) {
		server = other
	}
	s.inFlight[server]++
	s.own[instance][server]++
	end := now + time.Duration(s.random.ExpFloat64()*float64(balanceMeanDuration)).Truncate(balanceStep) + balanceStep
	s.endTimes[end] = append(s.endTimes[end], balanceRun{instance, server})
}

// run returns the 99th percentile and the maximum of the requests in flight on
// a server, as multiples of the mean.
func (s *balanceSim) run(length time.Duration) (p99, most float64) {
	perStep := float64(len(s.inFlight)*balanceMeanInFlight) * balanceStep.Seconds() / balanceMeanDuration.Seconds()
	var counts []int
	arrivals := 0.0
	for now := time.Duration(0); now < length; now += balanceStep {
		for _, r := range s.endTimes[now] {
			s.inFlight[r.server]--
			s.own[r.instance][r.server]--
		}
		delete(s.endTimes, now)
		for arrivals += perStep; arrivals >= 1; arrivals-- {
			s.start(now)
		}
		s.report(now)
		if now > length/2 && now%time.Second == 0 {
			counts = append(counts, s.inFlight...)
		}
	}
	slices.Sort(counts)
	mean := 0.0
	for _, n := range counts {
		mean += float64(n) / float64(len(counts))
	}
	return float64(counts[len(counts)*99/100]) / mean, float64(counts[len(counts)-1]) / mean
}

// report refreshes the servers' reports, each with its own phase.
func (s *balanceSim) report(now time.Duration) {
	if s.reportInterval == 0 {
		return
	}
	for i := range s.reports {
		phase := s.reportInterval * time.Duration(i) / time.Duration(len(s.reports))
		if (now+phase)%s.reportInterval < balanceStep {
			s.reports[i] = balanceReport{at: now, inFlight: s.inFlight[i]}
		}
	}
}

// TestSubsetsBalanceLoad measures how evenly 410 instances distribute requests
// over the 430 servers of one model, for different subset sizes and report
// intervals. Small subsets overload single servers.
func TestSubsetsBalanceLoad(t *testing.T) {
	members, servers := testMembers(410, testZones), testServers(430, testZones, 1)
	t.Log("| instances by server | reports every | 99th percentile | most |")
	for _, n := range []int{2, 4, watchersPerServer, 16, len(members)} {
		for _, interval := range []time.Duration{0, 12 * time.Second, time.Second} {
			if n != watchersPerServer && !*table {
				continue
			}
			p99, most := newBalanceSim(members, servers, n, interval).run(2 * time.Minute)
			t.Logf("| %d | %s | %.2f | %.2f |", n, interval, p99, most)
			if n == watchersPerServer && interval == 12*time.Second && p99 > 2.2 {
				t.Errorf("99th percentile of requests in flight per server is %.2f times the mean", p99)
			}
		}
	}
}
