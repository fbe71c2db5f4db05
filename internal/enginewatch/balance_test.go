package enginewatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// balance is a fleet in synthetic time: each instance picks the better of two
// servers of its subset by its own requests in flight and, weighted by its age,
// the last report of the server.
type balance struct {
	random   *rand.Rand
	subsets  [][]int
	inFlight []int // by server
	own      [][]int
	reports  []balanceReport
	every    time.Duration // between two reports; 0 is none
	ends     map[time.Duration][]balanceRun
}

type balanceReport struct {
	at       time.Duration
	inFlight int
}

type balanceRun struct{ instance, server int }

const (
	balanceStep     = 20 * time.Millisecond
	balanceHolding  = 12500 * time.Millisecond // mean time of a request
	balanceInFlight = 25                       // mean by server
	balanceHalfLife = 2 * time.Second          // of a report, as in package routing
)

func newBalance(members []Member, servers []Server, covers int, every time.Duration) *balance {
	b := newPlanner(members, servers)
	b.covers = covers
	for i := range servers {
		b.cover(i)
	}
	b.topUp()
	s := &balance{
		random:   seeded(11),
		subsets:  make([][]int, len(members)),
		inFlight: make([]int, len(servers)),
		own:      make([][]int, len(members)),
		reports:  make([]balanceReport, len(servers)),
		every:    every,
		ends:     make(map[time.Duration][]balanceRun),
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

func (s *balance) price(now time.Duration, instance, server int) float64 {
	own := s.own[instance][server]
	if s.every == 0 {
		return float64(own)
	}
	r := s.reports[server]
	weight := math.Exp2(-float64(now-r.at) / float64(balanceHalfLife))
	return float64(own) + weight*float64(max(r.inFlight-own, 0))
}

func (s *balance) start(now time.Duration) {
	instance := s.random.IntN(len(s.subsets))
	list := s.subsets[instance]
	server, other := list[s.random.IntN(len(list))], list[s.random.IntN(len(list))]
	if s.price(now, instance, other) < s.price(now, instance, server) {
		server = other
	}
	s.inFlight[server]++
	s.own[instance][server]++
	end := now + time.Duration(s.random.ExpFloat64()*float64(balanceHolding)).Truncate(balanceStep) + balanceStep
	s.ends[end] = append(s.ends[end], balanceRun{instance, server})
}

// run returns the 99th percentile and the greatest number of requests in flight
// on a server, as multiples of the mean.
func (s *balance) run(length time.Duration) (p99, most float64) {
	perStep := float64(len(s.inFlight)*balanceInFlight) * balanceStep.Seconds() / balanceHolding.Seconds()
	var counts []int
	arrivals := 0.0
	for now := time.Duration(0); now < length; now += balanceStep {
		for _, r := range s.ends[now] {
			s.inFlight[r.server]--
			s.own[r.instance][r.server]--
		}
		delete(s.ends, now)
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

// report refreshes the reports of the servers, each at its own time.
func (s *balance) report(now time.Duration) {
	if s.every == 0 {
		return
	}
	for i := range s.reports {
		phase := s.every * time.Duration(i) / time.Duration(len(s.reports))
		if (now+phase)%s.every < balanceStep {
			s.reports[i] = balanceReport{at: now, inFlight: s.inFlight[i]}
		}
	}
}

// TestSubsetsBalanceLoad compares the load of servers by the size of subsets: one
// model's 430 servers before 410 instances.
func TestSubsetsBalanceLoad(t *testing.T) {
	members, servers := testMembers(410, testZones), testServers(430, testZones, 1)
	t.Log("| instances by server | reports every | 99th percentile | most |")
	for _, n := range []int{2, 4, covers, 16, len(members)} {
		for _, every := range []time.Duration{0, 12 * time.Second, time.Second} {
			if n != covers && !*table {
				continue
			}
			p99, most := newBalance(members, servers, n, every).run(2 * time.Minute)
			t.Logf("| %d | %s | %.2f | %.2f |", n, every, p99, most)
			if n == covers && every == 12*time.Second && p99 > 2.2 {
				t.Errorf("a server in a hundred runs %.2f times the mean", p99)
			}
		}
	}
}
