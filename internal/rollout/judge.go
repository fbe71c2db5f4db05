package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// falseAlarmRate is the error rate of one test that a version as good as the old one
	// is called bad, and missRate that a bad one is called good until the test restarts.
	falseAlarmRate = 1e-5
	missRate       = 0.05
	// minRate is the lowest rate of bad responses that the old version is assumed to have.
	minRate = 0.01
	// A version is bad if its rate of bad responses is at least badFactor times that of the
	// old version, plus badOffset.
	badFactor = 3
	badOffset = 0.05
	maxRate   = 0.9
	// priorResponses is the weight of the assumed rate of the old version, in responses:
	// priorRate for all routes together, and for one route the rate of all together.
	priorResponses = 50.0
	priorRate      = 0.02
	// Responses of the new version are judged only with minOld responses of the old one, or
	// once there are minNew of them. An instance that has just started hears the counts of
	// others one by one, and a rate from few of them is often far off.
	minOld = 100
	minNew = 50
	// recentResponses bounds the responses from which the old version's rate is estimated,
	// so that it is that of the same time.
	recentResponses = 500.0
	// After aloneResponses of the new version without one of the old, times are no longer
	// compared with the same time: a delay of instances or of the network makes the new
	// version look slow, in a burst. Slow responses then need aloneFactor times the evidence.
	aloneResponses = 100.0
	aloneFactor    = 2.0
)

// sprt is a sequential probability ratio test (Wald) of one kind of bad response. It
// restarts when it has found the version good, so that one that turns bad later is found
// as soon as one that was bad from the start.
type sprt struct {
	llr          float64 // log-likelihood ratio of bad to good since the restart
	oldN, oldBad float64 // weighted counts of the old version
	seen         series  // what was already evaluated
	sinceOld     float64 // responses of the new version since the last one of the old
}

// series are the counts of one kind of bad response.
type series struct {
	oldN, oldBad, newN, newBad int64
	timing                     bool // slow responses, not failures
}

// observe evaluates cumulative counts, and reports whether the version is bad. prior is the
// assumed rate of bad responses of the old version.
func (t *sprt) observe(s series, prior float64) bool {
	t.oldN += float64(s.oldN - t.seen.oldN)
	t.oldBad += float64(s.oldBad - t.seen.oldBad)
	if t.oldN > recentResponses {
		t.oldBad *= recentResponses / t.oldN
		t.oldN = recentResponses
	}
	newN, newBad := float64(s.newN-t.seen.newN), float64(s.newBad-t.seen.newBad)
	t.sinceOld += newN
	if s.oldN > t.seen.oldN {
		t.sinceOld = newN
	}
	t.seen = s
	threshold := badThreshold()
	if s.timing && t.sinceOld > aloneResponses {
		threshold *= aloneFactor
	}
	if newN <= 0 {
		return t.llr >= threshold
	}
	good, bad := t.rates(prior)
	t.llr += newBad*math.Log(bad/good) + (newN-newBad)*math.Log((1-bad)/(1-good))
	switch {
	case t.llr >= threshold:
		return true
	case t.llr <= math.Log(missRate):
		t.llr = 0
	}
	return false
}

// rates returns the rates of bad responses of a version that is as good as the old one,
// and of a bad one. The old version's rate is taken one standard error above its estimate:
// where it is underestimated, good versions are called bad far more often than the test
// allows.
func (t *sprt) rates(prior float64) (good, bad float64) {
	rate := t.oldRate(prior)
	rate += math.Sqrt(rate * (1 - rate) / (t.oldN + priorResponses))
	good = min(max(rate, minRate), maxRate/2)
	return good, min(badFactor*good+badOffset, maxRate)
}

func (t *sprt) oldRate(prior float64) float64 {
	return (t.oldBad + prior*priorResponses) / (t.oldN + priorResponses)
}

func badThreshold() float64 { return math.Log((1 - missRate) / falseAlarmRate) }

// kinds are the kinds of bad responses, each with the counts that it is judged by.
var kinds = []struct {
	name string
	of   func(Pair) series
}{
	{"failures", func(p Pair) series {
		return series{oldN: p.Old.Responses, oldBad: p.Old.Failures, newN: p.New.Responses, newBad: p.New.Failures}
	}},
	{"late first events", func(p Pair) series {
		return series{oldN: p.Old.Timed, oldBad: p.Old.Late, newN: p.New.Timed, newBad: p.New.Late, timing: true}
	}},
	{"slow streams", func(p Pair) series {
		return series{oldN: p.Old.Paced, oldBad: p.Old.Dragging, newN: p.New.Paced, newBad: p.New.Dragging, timing: true}
	}},
}

// doubtLLR is the log-likelihood ratio from which the version does not get all traffic, and
// from which an order whose time is over is reverted without a verdict: bad is 1,000 times
// as likely as good.
const doubtLLR = 6.9

// allRoutes is the name under which the routes are also tested together, so that a version
// that is bad on each of many routes with little traffic is found.
const allRoutes = "(all)"

// Judge decides by evidence whether the new version is bad: for each route and for all
// together, by failures and by slow responses. The zero value is ready to use.
type Judge struct {
	tests   map[string]*[3]sprt
	verdict string
}

// Observe evaluates the evidence of all instances, and returns why the new version is bad,
// or "" if it is not. A verdict is never withdrawn.
func (j *Judge) Observe(total Evidence) string {
	if j.verdict != "" {
		return j.verdict
	}
	if j.tests == nil {
		j.tests = map[string]*[3]sprt{}
	}
	sum := total.Sum()
	all := j.testsOf(allRoutes)
	for i, k := range kinds {
		s := k.of(sum)
		if s.newN == 0 || s.oldN < minOld && s.newN < minNew {
			continue
		}
		j.test(allRoutes, i, s, priorRate)
		for _, route := range slices.Sorted(maps.Keys(total)) {
			j.test(route, i, k.of(total[route]), all[i].oldRate(priorRate))
		}
	}
	return j.verdict
}

// test evaluates the counts of one kind on a route.
func (j *Judge) test(route string, kind int, s series, prior float64) {
	t := &j.testsOf(route)[kind]
	if t.observe(s, prior) && j.verdict == "" {
		j.verdict = fmt.Sprintf("route=%q kind=%q new=%d/%d old=%d/%d llr=%.1f", route, kinds[kind].name, s.newBad, s.newN, s.oldBad, s.oldN, t.llr)
	}
}

func (j *Judge) testsOf(route string) *[3]sprt {
	tests := j.tests[route]
	if tests == nil {
		tests = new([3]sprt)
		j.tests[route] = tests
	}
	return tests
}

// Doubt returns the highest log-likelihood ratio of bad to good of all tests.
func (j *Judge) Doubt() float64 {
	highest := 0.0
	for _, tests := range j.tests {
		for i := range tests {
			highest = max(highest, tests[i].llr)
		}
	}
	return highest
}
