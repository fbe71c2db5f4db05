package quarantine

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
)

// crashAll makes the tracker learn of maxPartCrashes crashes of requests with these parts.
func crashAll(tr *Tracker, now time.Time, ids ...uint64) {
	var parts []Part
	for depth, id := range ids {
		parts = append(parts, Part{ID: id, Depth: depth})
	}
	for n := range maxPartCrashes {
		tr.Apply(Notice{Reporter: "b", Server: fmt.Sprint("s", n), UnixMillis: now.UnixMilli(), Parts: parts}, now)
	}
}

func prompt(fingerprint uint64, ids ...uint64) Request {
	return Request{Fingerprint: fingerprint, Parts: ids}
}

// TestTrialTellsPartsApart checks what follows from each end of a trial of a request that
// holds one of two parts that cannot be told apart.
func TestTrialTellsPartsApart(t *testing.T) {
	const bad, sound = 7, 5
	for name, c := range map[string]struct {
		end                    func(*Run, time.Time)
		refusesBad, refusesOne bool // alone: the deadly part, the sound one
	}{
		"answered":         {end: func(r *Run, now time.Time) { r.Ended(true, now) }, refusesBad: true},
		"crashed":          {end: func(r *Run, now time.Time) { r.Crashed(now) }, refusesOne: true},
		"without a result": {end: func(r *Run, now time.Time) { r.Ended(false, now) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := New(Options{Instance: "a"})
			crashAll(tr, start, bad, sound)
			now := start.Add(partSettleTime)
			is.True(tr.Refused(prompt(1, bad, sound), now))
			run, ok := tr.Start(prompt(2, sound, 100), "t", 0, now)
			is.True(ok)
			is.True(tr.Waits(prompt(3, bad, 101), now)) // one trial at a time
			is.True(!tr.Refused(prompt(3, bad, 101), now))
			now = now.Add(time.Second)
			c.end(run, now)
			complete(t, tr, prompt(9, 100), now) // the other part of the trial is sound
			is.True(tr.Refused(prompt(1, bad, sound), now))
			is.Equal(tr.Refused(prompt(3, bad, 101), now), c.refusesBad)
			is.Equal(tr.Refused(prompt(4, sound, 101), now), c.refusesOne)
		})
	}
}

// TestVerdictOfEarlierVersionIsTried guards against a wrong verdict in the store that
// refuses a sound part for half an hour because no request can clear it.
func TestVerdictOfEarlierVersionIsTried(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		t.Run(fmt.Sprintf("crashes: %t", crashes), func(t *testing.T) {
			is := is.New(t)
			tr := New(Options{Instance: "a"})
			tr.Restore([]Verdict{{Part: 7, Crashes: 5, UnixMillis: start.UnixMilli()}}, later)
			run, ok := tr.Start(prompt(1, 7, 100), "s", 0, later)
			is.True(ok)
			is.True(tr.Waits(prompt(2, 7, 101), later))
			end := later.Add(time.Second)
			if crashes {
				run.Crashed(end)
				run, ok = tr.Start(prompt(3, 7, 102), "s", 0, end) // 100 may have been the cause
				is.True(ok)
				run.Crashed(end)
			} else {
				run.Ended(true, end)
			}
			is.Equal(tr.Refused(prompt(2, 7, 101), end), crashes)
			if crashes {
				complete(t, tr, prompt(9, 100), end) // the other part of the first trial is sound
				is.Equal(tr.Verdicts(end), []Verdict{{Part: 7, Crashes: 5, UnixMillis: end.UnixMilli(), Confirmed: true}})
			}
		})
	}
}

// TestSetOutlivesRestart checks that parts that cannot be told apart stay refused together,
// and only together, after all instances were started anew, and are told apart then.
func TestSetOutlivesRestart(t *testing.T) {
	is := is.New(t)
	before := New(Options{Instance: "a"})
	crashAll(before, start, 7, 5)
	verdicts := before.Verdicts(later)
	is.Equal(verdicts, []Verdict{{Parts: []uint64{5, 7}, Crashes: maxPartCrashes, UnixMillis: start.UnixMilli(), Confirmed: true}})
	after := New(Options{Instance: "a"})
	after.Restore(verdicts, later)
	is.True(after.Refused(prompt(1, 7, 5), later))
	run, ok := after.Start(prompt(2, 7, 100), "s", 0, later)
	is.True(ok)
	run.Crashed(later)
	complete(t, after, prompt(9, 100), later)
	is.True(after.Refused(prompt(3, 7, 101), later)) // narrowed to the part that was tried
	is.True(!after.Refused(prompt(4, 5, 101), later))
}

// complete runs a request to its end.
func complete(t *testing.T, tr *Tracker, r Request, now time.Time) {
	t.Helper()
	run, ok := tr.Start(r, "other", 0, now)
	if !ok {
		t.Fatalf("request %d may not run", r.Fingerprint)
	}
	run.Ended(true, now)
}

// deniedClaims are claims while another instance runs a trial or the store is away.
type deniedClaims struct{ noClaims }

func (deniedClaims) Acquire() bool { return false }

// TestNoTrialWithoutClaim checks that a trial does not run without its claim, and that the
// claim is not asked for again at once.
func TestNoTrialWithoutClaim(t *testing.T) {
	is := is.New(t)
	tr := New(Options{Instance: "a", Claims: deniedClaims{}})
	crashAll(tr, start, 7, 5)
	now := start.Add(partSettleTime)
	_, ok := tr.Start(prompt(1, 5, 100), "s", 0, now)
	is.True(!ok)
	is.True(tr.Waits(prompt(1, 5, 100), now))
	is.True(!tr.Waits(prompt(1, 5, 100), now.Add(claimRetry)))
	is.True(!tr.Waits(prompt(2, 100, 101), now)) // other requests are not affected
}

// TestTableClaims checks that one instance at a time holds the claim, that it expires when
// its holder is lost, and that a torn row holds up no trial.
func TestTableClaims(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	var passed atomic.Int64 // nanoseconds since start
	now := func() time.Time { return start.Add(time.Duration(passed.Load())) }
	pass := func(d time.Duration) { passed.Add(int64(d)) }
	claims := func(name string) *TableClaims {
		return NewTableClaims(TableClaimsOptions{
			Instance: name, Table: p.Caller(name).Table(), Now: now, Logger: hclog.NewNullLogger(),
		})
	}
	ahead := claims("ahead")
	ahead.options.Now = func() time.Time { return now().Add(maxClaimSkew / 2) }
	is.True(ahead.Acquire())
	is.True(!claims("behind").Acquire()) // though the claim seems longer than a trial may be
	pass(2 * maxTrialTime)
	a, b := claims("a"), claims("b")
	is.True(a.Acquire())
	is.True(!b.Acquire())
	a.Release()
	eventually(t, func() bool { pass(claimReleaseDelay / 10); return b.Acquire() })
	is.True(now().Before(start.Add(3 * maxTrialTime))) // the release shortened the claim
	pass(maxTrialTime)
	is.True(a.Acquire()) // b was lost
	_, err := p.Caller("c").Table().Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: claimKey, Value: []byte("{")}}})
	is.NoErr(err)
	is.True(b.Acquire())
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true")
		}
	}
}
