package quorum

import "math/bits"

const byteBits = 8

// Set is a set of positions in a roster, one bit each. The zero value is empty.
type Set []byte

// Add adds a position to the set.
func (s *Set) Add(i int) {
	for len(*s) <= i/byteBits {
		*s = append(*s, 0)
	}
	(*s)[i/byteBits] |= 1 << (i % byteBits)
}

// Has reports whether the position is in the set.
func (s Set) Has(i int) bool {
	return i/byteBits < len(s) && s[i/byteBits]&(1<<(i%byteBits)) != 0
}

// Len returns the number of positions below limit in the set.
func (s Set) Len(limit int) int {
	n := 0
	for i, b := range s {
		if rest := limit - i*byteBits; rest < byteBits {
			b &= 1<<max(rest, 0) - 1
		}
		n += bits.OnesCount8(b)
	}
	return n
}

// Merge adds all positions of t and reports whether s grew.
func (s *Set) Merge(t Set) bool {
	grew := false
	for i, b := range t {
		if i == len(*s) {
			*s = append(*s, 0)
		}
		if b&^(*s)[i] != 0 {
			(*s)[i] |= b
			grew = true
		}
	}
	return grew
}
