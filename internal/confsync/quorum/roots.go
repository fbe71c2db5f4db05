package quorum

import "github.com/hawthornwick/hawthornwick/internal/spread"

// Roots returns the designated roots: two instances half the ring apart, and
// therefore in different availability zones if there are several.
func Roots(v spread.View) []string {
	switch n := v.Len(); n {
	case 0:
		return nil
	case 1:
		return []string{v.At(0).Name}
	default:
		return []string{v.At(0).Name, v.At(n / 2).Name}
	}
}
