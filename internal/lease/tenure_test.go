package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// lockInput is an operation on a duty as an outside observer sees it.
type lockInput struct {
	acquire bool
	token   uint64
}

// TestTenuresAreLinearizable checks the recorded tenures against the model of a lock:
// between an acquisition and the end of the tenure as its holder sees it, no other
// instance acquires the duty, and fencing tokens increase.
func TestTenuresAreLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 3)
		f.startAll()
		for round := range 40 {
			i := round % 5
			fault := standin.Fault{LoseReplies: 2}
			switch round % 3 {
			case 1:
				fault = standin.Fault{Delay: 5 * time.Second}
			case 2:
				fault = standin.Fault{Paused: true}
			}
			f.p.SetCallerFault(f.names[i], standin.TableInterface, fault)
			time.Sleep(time.Duration(7+round) * time.Second)
			f.p.SetCallerFault(f.names[i], standin.TableInterface, standin.Fault{})
		}
		f.stop()
		events, lost := f.ring.Snapshot()
		if lost > 0 {
			t.Fatalf("%d events lost", lost)
		}
		for _, duty := range f.duties {
			checkTenures(t, duty, events)
		}
	})
}

// checkTenures checks the history of one duty with porcupine.
func checkTenures(t *testing.T, duty string, events []timeline.Event) {
	t.Helper()
	var ops []porcupine.Operation
	clients := make(map[string]int)
	for i, e := range events {
		if e.Duty != duty || e.Kind != timeline.LeaseAcquired {
			continue
		}
		if _, ok := clients[e.Subject]; !ok {
			clients[e.Subject] = len(clients)
		}
		start, end := e.Time.UnixNano(), tenureEnd(events[i:], e).UnixNano()
		client := clients[e.Subject]
		ops = append(ops,
			porcupine.Operation{ClientId: client, Input: lockInput{true, e.Token}, Call: start, Return: start},
			porcupine.Operation{ClientId: client, Input: lockInput{false, e.Token}, Call: end, Return: end})
	}
	if len(ops) < 8 {
		t.Fatalf("duty %q changed hands only %d times", duty, len(ops)/2)
	}
	if !porcupine.CheckOperations(lockModel, ops) {
		t.Errorf("tenures of %q overlap or their tokens do not increase", duty)
	}
}

// tenureEnd returns the end of a tenure as its holder sees it.
func tenureEnd(events []timeline.Event, acquired timeline.Event) time.Time {
	end := acquired.Until
	for _, e := range events {
		if e.Duty != acquired.Duty || e.Token != acquired.Token || e.Subject != acquired.Subject {
			continue
		}
		switch e.Kind {
		case timeline.LeaseRenewed:
			end = e.Until
		case timeline.LeaseLost, timeline.LeaseReleased:
			return e.Time
		}
	}
	return end
}

// lockState is the state of the lock: the token of the holder, 0 if it is free, and the
// highest token so far.
type lockState struct{ holder, highest uint64 }

var lockModel = porcupine.Model{
	Init: func() interface{} { return lockState{} },
	Step: func(state, input, _ interface{}) (bool, interface{}) {
		s, in := state.(lockState), input.(lockInput)
		if in.acquire {
			return s.holder == 0 && in.token > s.highest, lockState{in.token, in.token}
		}
		return s.holder == in.token, lockState{0, s.highest}
	},
}
