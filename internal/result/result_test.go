package result

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTableComplete(t *testing.T) {
	is := is.New(t)
	previous := Code(0)
	for _, i := range Table() {
		is.True(i.Code > previous) // ascending and unique
		is.True(i.Name != "" && i.Meaning != "" && i.Caller != "" && i.Operator != "")
		is.True(i.HTTPStatus >= 400 && i.HTTPStatus < 600)
		previous = i.Code
	}
}

// Guards against a result "not run" without proof: with a zero Proof, or after an
// attempt was allowed to send.
func TestNotRunRequiresProof(t *testing.T) {
	is := is.New(t)
	is.True(!NotRun(Shed, Proof{}, "forged").NotRun())
	var g Gate
	is.True(g.Refuse(Shed, "sealed first").NotRun())
	is.True(!g.Open()) // a sealed gate blocks all attempts
	var h Gate
	is.True(h.Open())
	is.True(!h.Refuse(Shed, "opened first").NotRun())
}

// Guards against a later refusal that replaces the first one, and against changes that
// the caller makes to the returned error.
func TestGateRefusal(t *testing.T) {
	is := is.New(t)
	var g Gate
	is.True(g.Refusal() == nil)
	first := g.Refuse(KeyWithdrawn, "first")
	is.True(g.Refuse(DeadlineHopeless, "second").NotRun())
	first.WithRetryAfter(1)
	is.Equal(g.Refusal().Code, KeyWithdrawn)
	is.Equal(g.Refusal().RetryAfter, time.Duration(0))
	var sealed, opened Gate
	_, _ = sealed.Seal()
	is.True(sealed.Refusal() == nil)
	is.True(opened.Open())
	is.True(opened.TryRefuse(Shed, "too late") == nil)
	is.True(opened.Refusal() == nil)
}

// Guards against a request that is both sent and reported as not run, when Open and Seal
// are called concurrently.
func TestGateConcurrentOpenAndSeal(t *testing.T) {
	for range 1000 {
		var g Gate
		var wg sync.WaitGroup
		var opened, sealed bool
		wg.Go(func() { opened = g.Open() })
		wg.Go(func() { _, sealed = g.Seal() })
		wg.Wait()
		if opened == sealed {
			t.Fatalf("opened = %v and sealed = %v; want exactly one", opened, sealed)
		}
	}
}
