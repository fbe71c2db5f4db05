package platform

import (
	"fmt"
	"math"
)

// A version identifies a state of the table service. Versions rise with each transaction, and
// also when the service is restored from an older copy and gives its own numbers out again:
// the upper bits hold the epoch, which counts the restores, and the lower ones the number
// that the service assigned. Versions are compared, never computed. A service that is never
// restored, or does not state its epoch, has epoch 0, and its versions equal its numbers.

const (
	numberBits = 40
	// MaxNumber is the highest number of a transaction that a version can hold.
	MaxNumber = 1<<numberBits - 1
	// MaxEpoch is the highest epoch that a version can hold.
	MaxEpoch = 1<<(64-numberBits) - 2
	// NoVersion is the version of no row, present or absent: a check of it always fails.
	NoVersion = math.MaxUint64
)

// VersionRangeError reports an epoch or a number that a version cannot hold.
type VersionRangeError struct{ Epoch, Number uint64 }

// Error implements the error interface.
func (e *VersionRangeError) Error() string {
	return fmt.Sprintf("epoch %d, number %d: a version holds epochs up to %d and numbers up to %d", e.Epoch, e.Number, uint64(MaxEpoch), uint64(MaxNumber))
}

// NewVersion returns the version of a number that the table service assigned in an epoch. It
// returns a *VersionRangeError if either is too large.
func NewVersion(epoch, number uint64) (uint64, error) {
	if epoch > MaxEpoch || number > MaxNumber {
		return 0, &VersionRangeError{Epoch: epoch, Number: number}
	}
	return epoch<<numberBits | number, nil
}

// NewRowVersion is NewVersion for a row, whose number is zero if it is absent. The version of an
// absent row is zero in each epoch.
func NewRowVersion(epoch, number uint64) (uint64, error) {
	if number == 0 {
		return 0, nil
	}
	return NewVersion(epoch, number)
}

// EpochOf returns the epoch of a version.
func EpochOf(version uint64) uint64 { return version >> numberBits }

// NumberOf returns the number that the table service assigned to a version in its epoch.
func NumberOf(version uint64) uint64 { return version & MaxNumber }
