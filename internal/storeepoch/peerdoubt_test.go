package storeepoch

import (
	"testing"

	"github.com/matryer/is"
)

// TestPeerOfEarlierEpochEndsNoDoubt guards against rows of an instance that has not noticed a restore,
// which end the doubt, so that answers of before the restore are believed.
func TestPeerOfEarlierEpochEndsNoDoubt(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	believe(t, &tr, 1, 10)
	is.Equal(reasonOf(tr.ObserveAnswer(2, 15, 20)), Unconfirmed) // the store was restored
	is.NoErr(tr.Adopt(1, 25))                                    // a peer's rows, read before the restore
	is.Equal(reasonOf(tr.ObserveAnswer(1, 12, 30)), Unconfirmed) // sent before the restore
}

// TestRestoreIsConfirmedBesidePeersOfEarlierEpoch guards against a restore that is not believed for as
// long as rows of peers that have not noticed it arrive more often than the store answers.
func TestRestoreIsConfirmedBesidePeersOfEarlierEpoch(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	believe(t, &tr, 1, 10)
	at := tr.Current().SeenAt + 10
	for range 5 { // calls, each of which asks up to maxQuestions times
		sent := at
		_ = tr.Adopt(1, at+5) // discarded once the restore is believed
		at += 10
		err := tr.Confirm(2, sent, at, func() error {
			sent := at
			_ = tr.Adopt(1, at+5)
			at += 10
			return tr.ObserveAnswer(2, sent, at)
		})
		t.Log(err)
	}
	is.Equal(tr.Current().Number, uint64(2))
}
