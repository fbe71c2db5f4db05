package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// refuse makes the tracker refuse a part.
func refuse(t *testing.T, tr *Tracker, part uint64, now time.Time) {
	t.Helper()
	for n := range maxPartCrashes {
		tr.Apply(Notice{Reporter: "b", Server: string(rune('a' + n)), UnixMillis: now.UnixMilli(), Parts: []Part{{ID: part}}}, now)
	}
	if !tr.Refused(Request{Parts: []uint64{part}}, now.Add(partSettleTime)) {
		t.Fatalf("part %d is not refused after %d crashes", part, maxPartCrashes)
	}
}

// TestVerdictOutlivesTracker guards against instances that forget a deadly part when all
// of them are started anew, and against verdicts that never age because they are passed
// on.
func TestVerdictOutlivesTracker(t *testing.T) {
	is := is.New(t)
	before := New(Options{Instance: "a"})
	refuse(t, before, 7, start)
	verdicts := before.Verdicts(later)
	is.Equal(verdicts, []Verdict{{Part: 7, Crashes: maxPartCrashes, UnixMillis: start.UnixMilli(), Confirmed: true}})

	after := New(Options{Instance: "a"})
	after.Restore(verdicts, later)
	is.True(after.Refused(Request{Parts: []uint64{7}}, later))
	is.Equal(after.Verdicts(later), verdicts)
	after.Restore(after.Verdicts(later), later)
	end := start.Add(defaultRetention)
	is.True(after.Refused(Request{Parts: []uint64{7}}, end.Add(-time.Second)))
	is.True(!after.Refused(Request{Parts: []uint64{7}}, end))
	after.Restore(verdicts, end)
	is.Equal(len(after.Verdicts(end)), 0)
}

// TestClearedVerdictIsContradicted guards against a sound part that some instances
// refuse for ever because they missed that it was cleared.
func TestClearedVerdictIsContradicted(t *testing.T) {
	is := is.New(t)
	verdict := Verdict{Part: 7, Crashes: 3, UnixMillis: start.UnixMilli()}
	missed := New(Options{Instance: "a"})
	missed.Restore([]Verdict{verdict}, later)
	var notices []Notice
	other := New(Options{Instance: "b", Notify: func(n Notice) { notices = append(notices, n) }})
	other.Apply(Notice{Reporter: "c", UnixMillis: later.UnixMilli(), ClearedParts: []uint64{7}}, later)
	other.Restore([]Verdict{verdict}, later)
	is.True(!other.Refused(Request{Parts: []uint64{7}}, later))
	is.Equal(len(notices), 1)
	is.True(missed.Apply(notices[0], later))
	is.True(!missed.Refused(Request{Parts: []uint64{7}}, later))
	is.Equal(len(missed.Verdicts(later)), 0)
}

func TestVerdictsAreBounded(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	var verdicts []Verdict
	for p := range uint64(2 * maxVerdicts) {
		verdicts = append(verdicts, Verdict{Part: p, Crashes: 3, UnixMillis: start.UnixMilli()})
	}
	tr.Restore(verdicts, later)
	is.Equal(len(tr.Verdicts(later)), maxVerdicts)
}
