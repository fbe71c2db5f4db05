package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

func TestRampFollowsLoadReports(t *testing.T) {
	is := is.New(t)
	now := start
	r := NewRamp(now, 1, 1, 8)
	r.ApplyReport(now, engineapi.LoadReport{ColdRemaining: 3}, 0)
	for range 100 {
		r.RecordResult(now, true)
	}
	is.Equal(r.Limit(), 1) // the server reports itself cold
	r.ApplyReport(now, engineapi.LoadReport{}, 0)
	for _, want := range []int{2, 4, 8, 8} {
		now = now.Add(rampStepInterval)
		r.Step(now)
		is.Equal(r.Limit(), want)
	}
	is.True(r.Warm())
}

func TestRampWithoutLoadReports(t *testing.T) {
	is := is.New(t)
	r := NewRamp(start, 1, 1, 8)
	r.Step(start.Add(time.Hour))
	is.Equal(r.Limit(), 1) // time alone does not raise the limit
	for range minColdSuccesses {
		r.RecordResult(start, true)
	}
	is.Equal(r.Limit(), 2)
	r.RecordResult(start, false)
	is.Equal(r.Limit(), 1) // a failure during the ramp lowers the limit
}

func TestWarmServerTurnsCold(t *testing.T) {
	for name, turn := range map[string]func(now time.Time, l *LiveState){
		"epoch in an answer": func(now time.Time, l *LiveState) { l.ObserveEpoch(now, 2) },
		"epoch in a report": func(now time.Time, l *LiveState) {
			l.ApplyReport(now, engineapi.LoadReport{Epoch: 2, UnixMillis: now.UnixMilli(), ColdRemaining: 8})
		},
		"cache emptied": func(now time.Time, l *LiveState) {
			l.ApplyReport(now, engineapi.LoadReport{Epoch: 1, UnixMillis: now.UnixMilli(), CacheUse: 0.01})
		},
		"latency jump": func(now time.Time, l *LiveState) {
			for range minJumpSamples {
				l.Observe(now, Outcome{Complete: true, FirstToken: 50 * time.Millisecond})
			}
			l.Observe(now, Outcome{Complete: true, FirstToken: 5 * time.Second})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStore(modelConfig(1, 32), 1)
			now := warm(s).Add(time.Second)
			l := s.Live("s00000")
			is.True(!l.Cold())
			turn(now, l)
			is.True(l.Cold())
			is.Equal(l.ramp.Limit(), 1)
		})
	}
}

func TestReportOfOldEpochIgnored(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	now := warm(s)
	l := s.Live("s00000")
	l.ObserveEpoch(now, 2)
	l.ApplyReport(now, engineapi.LoadReport{Epoch: 1, UnixMillis: now.UnixMilli()})
	l.ramp.Step(now.Add(time.Minute))
	is.True(l.Cold())
}

func TestSuspectServerProbes(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	now := warm(s)
	l := s.Live("s00000")
	for range suspectThreshold {
		l.Observe(now, Outcome{Failed: true})
	}
	is.Equal(l.Free(now, s.Members), 0)
	probe := now.Add(minProbeInterval)
	is.Equal(l.Free(probe, s.Members), 1)
	l.StartAttempt(probe)
	is.Equal(l.Free(probe, s.Members), 0)
	l.EndAttempt(false)
	l.Observe(probe, Outcome{Failed: true})
	is.Equal(l.Free(probe.Add(minProbeInterval), s.Members), 0) // the probe interval doubles
	l.Observe(probe, Outcome{Complete: true})
	is.True(l.Free(probe, s.Members) > 1)
}

func TestCrashMakesServerSuspect(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	now := warm(s)
	l := s.Live("s00000")
	l.Observe(now, Outcome{Failed: true, Crashed: true})
	is.True(l.Suspect())
}

func TestLoadReportDecay(t *testing.T) {
	is := is.New(t)
	var v loadView
	v.update(start, engineapi.LoadReport{Running: 10, UnixMillis: start.UnixMilli()}, 4)
	is.Equal(v.inFlight(start, 4), 10.0)
	is.Equal(v.inFlight(start, 9), 15.0) // own requests started since the report
	is.Equal(v.inFlight(start.Add(reportHalfLife), 4), 7.0)
	is.True(!v.update(start, engineapi.LoadReport{UnixMillis: start.UnixMilli() - 1}, 0)) // out of order
}

func TestFailingPoolStaysInUse(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 3)
	now := warm(s)
	p := s.Snapshot().Pools["m"]
	fail := func(name string, dead bool) {
		for range suspectThreshold {
			s.Live(name).Observe(now, Outcome{Failed: true, Unreachable: dead})
		}
		p.TolerateFailures()
	}
	fail("s00000", false)
	is.Equal(s.Live("s00000").Free(now, s.Members), 0) // one of three: the server is the cause
	fail("s00001", false)
	is.True(s.Live("s00000").Free(now, s.Members) > 0) // most of them: the cause is elsewhere
	fail("s00001", true)
	is.Equal(s.Live("s00001").Free(now, s.Members), 0) // an unreachable server is never tolerated
}
