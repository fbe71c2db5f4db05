package storeepoch

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// TestFalseRiseIsRefuted guards against an odd answer that is believed, or stays in doubt, although
// an answer to a later call states the known epoch.
func TestFalseRiseIsRefuted(t *testing.T) {
	for _, odd := range []uint64{2, 40, 1 + maxRise} {
		is := is.New(t)
		var tr Tracker
		believe(t, &tr, 1, 10)
		for round := range boottime.Instant(3) { // an odd answer confirms no earlier one
			at := 20 + 10*round
			is.Equal(reasonOf(tr.Observe(odd, at)), Unconfirmed)
			is.NoErr(tr.Observe(1, at+5))
		}
		is.Equal(tr.Current(), Epoch{Number: 1, SeenAt: 10, Stated: true})
		believe(t, &tr, 2, 60)
	}
}

// TestDoubtHoldsBothEpochs guards against an answer to an earlier call that is believed, confirms or
// refutes, while it is not known whether the store was restored.
func TestDoubtHoldsBothEpochs(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	believe(t, &tr, 1, 10)
	is.Equal(reasonOf(tr.ObserveAnswer(2, 15, 20)), Unconfirmed)
	is.Equal(reasonOf(tr.ObserveAnswer(1, 19, 30)), Unconfirmed)
	is.Equal(reasonOf(tr.ObserveAnswer(2, 19, 31)), Unconfirmed)
	is.Equal(reasonOf(tr.ObserveAnswer(3, 19, 32)), Unconfirmed)
	is.Equal(tr.Current().Number, uint64(1))
	is.NoErr(tr.ObserveAnswer(2, 20, 33))
	is.Equal(tr.Current(), Epoch{Number: 2, SeenAt: 33, Stated: true})
	is.Equal(reasonOf(tr.ObserveAnswer(1, 19, 34)), Earlier)
}

// TestRestoreWhileInDoubt guards against a restore that is missed since another one was in doubt.
func TestRestoreWhileInDoubt(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	believe(t, &tr, 1, 10)
	is.Equal(reasonOf(tr.Observe(2, 20)), Unconfirmed)
	is.Equal(reasonOf(tr.Observe(3, 30)), Unconfirmed)
	is.Equal(reasonOf(tr.ObserveAnswer(2, 25, 31)), Unconfirmed)
	is.NoErr(tr.Observe(3, 40))
	is.Equal(tr.Current().Number, uint64(3))
}

// TestUnstatedWhileInDoubt guards against a first answer that is odd, or has lost its epoch, and is
// believed.
func TestUnstatedWhileInDoubt(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	is.Equal(reasonOf(tr.Observe(5, 10)), Unconfirmed)
	is.Equal(reasonOf(tr.ObserveUnstated(20)), Unconfirmed)
	is.NoErr(tr.ObserveUnstated(30))
	is.Equal(tr.Current(), Epoch{SeenAt: 30})
}

var errAway = errors.New("the store does not answer")

// TestConfirm checks what becomes of an answer if the store is asked again.
func TestConfirm(t *testing.T) {
	for name, c := range map[string]struct {
		epoch   uint64   // of the answer; 1 is known
		asked   []uint64 // epochs of the further answers; 0 is none
		reason  Reason
		current uint64
		calls   int
	}{
		"known":                 {epoch: 1, current: 1},
		"confirmed":             {epoch: 2, asked: []uint64{2}, current: 2, calls: 1},
		"refuted":               {epoch: 2, asked: []uint64{1}, reason: Unconfirmed, current: 1, calls: 1},
		"no answer":             {epoch: 2, asked: []uint64{0}, reason: Unconfirmed, current: 1, calls: 1},
		"restored again":        {epoch: 2, asked: []uint64{3, 3}, reason: Unconfirmed, current: 3, calls: 2},
		"odd answer between":    {epoch: 2, asked: []uint64{9, 2, 2}, current: 2, calls: 3},
		"never the same":        {epoch: 2, asked: []uint64{3, 4, 5, 6}, reason: Unconfirmed, current: 1, calls: maxQuestions},
		"implausible":           {epoch: 5000, reason: Implausible, current: 1},
		"implausible, then one": {epoch: 2, asked: []uint64{5000}, reason: Unconfirmed, current: 1, calls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tr Tracker
			believe(t, &tr, 1, 10)
			calls := 0
			err := tr.Confirm(c.epoch, 20, 20, func() error {
				calls++
				if c.asked[calls-1] == 0 {
					return errAway
				}
				return tr.Observe(c.asked[calls-1], boottime.Instant(20+calls))
			})
			is.Equal(reasonOf(err), c.reason)
			is.Equal(err == nil, c.reason == "")
			is.Equal(tr.Current().Number, c.current)
			is.Equal(calls, c.calls)
		})
	}
}

// TestConfirmOfEarlierCall checks that an answer of the known epoch is believed once a doubt is
// refuted, and not while it lasts.
func TestConfirmOfEarlierCall(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	believe(t, &tr, 1, 10)
	is.Equal(reasonOf(tr.Observe(2, 20)), Unconfirmed)
	is.Equal(reasonOf(tr.Confirm(1, 15, 21, func() error { return errAway })), Unconfirmed)
	is.NoErr(tr.Confirm(1, 15, 21, func() error { return tr.Observe(1, 22) }))
}

// TestAdoptedEpoch checks that what another instance has confirmed is believed at once.
func TestAdoptedEpoch(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	changes := 0
	tr.OnChange(func(_, _ Epoch) { changes++ })
	is.NoErr(tr.Adopt(3, 10))
	is.NoErr(tr.Adopt(3, 20))
	is.Equal(changes, 0)
	is.NoErr(tr.Adopt(5, 30))
	is.Equal(changes, 1)
	is.Equal(tr.Current(), Epoch{Number: 5, SeenAt: 30, Stated: true})
	is.Equal(reasonOf(tr.Adopt(4, 40)), Earlier)
	is.Equal(reasonOf(tr.Adopt(5000, 50)), Implausible)
}

// TestDiscardsAreReportedInBounds guards against a line of the log for each discarded answer, and
// against answers that no line counts.
func TestDiscardsAreReportedInBounds(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	var counts []uint64
	tr.OnDiscard(func(d Discards) {
		is.Equal(d.Last.Reason, Earlier)
		counts = append(counts, d.Count)
	})
	believe(t, &tr, 4, 1)
	at := boottime.Instant(1)
	for range 25 {
		is.Equal(reasonOf(tr.Observe(3, at)), Earlier)
		at = at.Add(reportInterval / 10)
	}
	is.Equal(counts, []uint64{1, 10, 10})
	is.True(tr.Observe(3, at.Add(2*reportInterval)) != nil)
	is.Equal(counts, []uint64{1, 10, 10, 5})
}
