package result

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

func TestTableIsAscendingAndComplete(t *testing.T) {
	is := is.New(t)
	previous := Code(0)
	for _, i := range Table() {
		is.True(i.Code > previous) // ascending, unique
		is.True(i.Name != "" && i.Meaning != "" && i.Caller != "" && i.Operator != "")
		is.True(i.HTTPStatus >= 400 && i.HTTPStatus < 600)
		previous = i.Code
	}
}

func TestNotRunNeedsIssuedProof(t *testing.T) {
	is := is.New(t)
	is.True(!NotRun(Shed, Proof{}, "forged").NotRun())
	var g Gate
	is.True(g.Refuse(Shed, "sealed first").NotRun())
	is.True(!g.Open()) // a sealed gate lets no attempt through
	var h Gate
	is.True(h.Open())
	is.True(!h.Refuse(Shed, "opened first").NotRun())
}

func TestGateRaceHasOneWinner(t *testing.T) {
	for range 1000 {
		var g Gate
		var wg sync.WaitGroup
		var opened, sealed bool
		wg.Go(func() { opened = g.Open() })
		wg.Go(func() { _, sealed = g.Seal() })
		wg.Wait()
		if opened == sealed {
			t.Fatalf("opened %v and sealed %v", opened, sealed)
		}
	}
}
