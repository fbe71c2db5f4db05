package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

func TestRampStepsByWhatTheServerShows(t *testing.T) {
	is := is.New(t)
	now := start
	r := NewRamp(now, 1, 1, 8)
	r.Report(now, engineapi.LoadReport{ColdRemaining: 3}, 0)
	for range 100 {
		r.Answer(now, true)
	}
	is.Equal(r.Total(), 1) // the server itself says that it is cold
	r.Report(now, engineapi.LoadReport{}, 0)
	for _, want := range []int{2, 4, 8, 8} {
		now = now.Add(stepInterval)
		r.Step(now)
		is.Equal(r.Total(), want)
	}
	is.True(r.Warm())
}

func TestRampWithoutReportsNeedsAnswers(t *testing.T) {
	is := is.New(t)
	r := NewRamp(start, 1, 1, 8)
	r.Step(start.Add(time.Hour))
	is.Equal(r.Total(), 1) // time alone shows nothing
	for range coldProof {
		r.Answer(start, true)
	}
	is.Equal(r.Total(), 2)
	r.Answer(start, false)
	is.Equal(r.Total(), 1) // a failure on the ramp goes back a step
}

func TestWarmServerThatTurnsColdStartsItsRampAgain(t *testing.T) {
	for name, turn := range map[string]func(now time.Time, l *Live){
		"epoch in an answer": func(now time.Time, l *Live) { l.SeeEpoch(now, 2) },
		"epoch in a report": func(now time.Time, l *Live) {
			l.Report(now, engineapi.LoadReport{Epoch: 2, UnixMillis: now.UnixMilli(), ColdRemaining: 8})
		},
		"cache lost": func(now time.Time, l *Live) {
			l.Report(now, engineapi.LoadReport{Epoch: 1, UnixMillis: now.UnixMilli(), CacheUse: 0.01})
		},
		"latency jump": func(now time.Time, l *Live) {
			for range jumpSamples {
				l.Observe(now, Shown{Good: true, FirstToken: 50 * time.Millisecond})
			}
			l.Observe(now, Shown{Good: true, FirstToken: 5 * time.Second})
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
			is.Equal(l.ramp.Total(), 1)
		})
	}
}

func TestReportOfAnEarlierLifeIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	now := warm(s)
	l := s.Live("s00000")
	l.SeeEpoch(now, 2)
	l.Report(now, engineapi.LoadReport{Epoch: 1, UnixMillis: now.UnixMilli()})
	l.ramp.Step(now.Add(time.Minute))
	is.True(l.Cold())
}

func TestSuspectServerGetsOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	now := warm(s)
	l := s.Live("s00000")
	for range suspectAfter {
		l.Observe(now, Shown{Failed: true})
	}
	is.Equal(l.Free(now, s.Members), 0)
	probe := now.Add(probeFirst)
	is.Equal(l.Free(probe, s.Members), 1)
	l.Started(probe)
	is.Equal(l.Free(probe, s.Members), 0)
	l.Ended()
	l.Observe(probe, Shown{Failed: true})
	is.Equal(l.Free(probe.Add(probeFirst), s.Members), 0) // the pause doubles
	l.Observe(probe, Shown{Good: true})
	is.True(l.Free(probe, s.Members) > 1)
}

func TestCrashMakesSuspectAtOnce(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	now := warm(s)
	l := s.Live("s00000")
	l.Observe(now, Shown{Failed: true, Crashed: true})
	is.True(l.Suspect())
}

func TestLoadReportCountsLessWithAgeAndOwnWorkIsExact(t *testing.T) {
	is := is.New(t)
	var v loadView
	v.take(start, engineapi.LoadReport{Running: 10, UnixMillis: start.UnixMilli()}, 4)
	is.Equal(v.inFlight(start, 4), 10.0)
	is.Equal(v.inFlight(start, 9), 15.0) // own work since the report
	is.Equal(v.inFlight(start.Add(reportHalfLife), 4), 7.0)
	is.True(!v.take(start, engineapi.LoadReport{UnixMillis: start.UnixMilli() - 1}, 0)) // came out of order
}

func TestPoolThatFailsAsAWholeStaysInUse(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 3)
	now := warm(s)
	p := s.Snapshot().Pools["m"]
	fail := func(name string, dead bool) {
		for range suspectAfter {
			s.Live(name).Observe(now, Shown{Failed: true, Dead: dead})
		}
		p.Tolerate()
	}
	fail("s00000", false)
	is.Equal(s.Live("s00000").Free(now, s.Members), 0) // one of three: it is the server
	fail("s00001", false)
	is.True(s.Live("s00000").Free(now, s.Members) > 0) // most of them: it is not
	fail("s00001", true)
	is.Equal(s.Live("s00001").Free(now, s.Members), 0) // a dead one is not used
}
