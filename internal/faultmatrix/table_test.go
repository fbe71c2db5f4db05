package faultmatrix

import (
	"testing"

	"github.com/matryer/is"
)

func TestTableCoverage(t *testing.T) {
	is := is.New(t)
	for _, c := range Table() {
		if !c.Covered() {
			t.Errorf("cell %s has neither a test nor a reason", c.Name())
		}
		is.True(c.Impossible == "" || c.Scenario == "") // a cell either runs or cannot occur
	}
}
