package platform

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestVersionsRiseOverEpochs checks that a number that is given out again after a restore has a
// higher version than each one of before.
func TestVersionsRiseOverEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers, epochs := rapid.Uint64Range(0, MaxNumber), rapid.Uint64Range(0, MaxEpoch-1)
		epoch, number := epochs.Draw(t, "epoch"), numbers.Draw(t, "number")
		before, err := NewVersion(epoch, number)
		after, err2 := NewVersion(epoch+1, numbers.Draw(t, "later number"))
		if err != nil || err2 != nil || before >= after {
			t.Fatalf("%d, %d: %v %v", before, after, err, err2)
		}
		if EpochOf(before) != epoch || NumberOf(before) != number {
			t.Fatalf("version %d of epoch %d, number %d", before, EpochOf(before), NumberOf(before))
		}
	})
}

func TestVersionBounds(t *testing.T) {
	is := is.New(t)
	_, err := NewVersion(MaxEpoch, MaxNumber)
	is.NoErr(err)
	for _, v := range [][2]uint64{{MaxEpoch + 1, 0}, {0, MaxNumber + 1}} {
		_, err := NewVersion(v[0], v[1])
		var outOfRange *VersionRangeError
		is.True(errors.As(err, &outOfRange))
	}
	absent, err := NewRowVersion(7, 0)
	is.NoErr(err)
	is.Equal(absent, uint64(0))
}
