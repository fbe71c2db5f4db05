package quorum

import (
	"math"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/spread"
)

// keptBounds is how many rounds back the time of a start is remembered.
const keptBounds = 4

// bound states that the root started a round no earlier than a time on this
// instance's clock.
type bound struct {
	number uint64
	at     time.Time
}

// track follows the rounds of one root.
type track struct {
	round   Round
	parent  string    // whom the round was heard from; empty at the root
	entered time.Time // when the round was entered here
	before  time.Time // when the round before was entered here; zero if it was missed
	bounds  []bound   // in ascending order of number and time
	answers Answers
	flushAt time.Time // when the answers are passed on; zero when nothing is held
}

// begin moves on to a newer round. If answered is set, the result that round N
// carries holds this instance's answer to round N-1, so the root started N
// after this instance had entered N-1.
func (t *track) begin(now time.Time, from string, r Round, answered bool) {
	follows := r.Number == t.round.Number+1
	t.before = time.Time{}
	if follows {
		t.before = t.entered
	}
	if follows && answered {
		t.bounds = append(t.bounds, bound{number: r.Number, at: t.entered})
		t.bounds = t.bounds[max(0, len(t.bounds)-keptBounds):]
	}
	t.round = r
	t.parent = from
	t.entered = now
	t.answers = Answers{}
	t.flushAt = time.Time{}
}

// startedAfter returns a time no later than the start of the round. Rounds
// start in order of number, so a bound of an earlier one holds too.
func (t *track) startedAfter(number uint64) (time.Time, bool) {
	for _, b := range slices.Backward(t.bounds) {
		if b.number <= number {
			return b.at, true
		}
	}
	return time.Time{}, false
}

// judge draws conclusions from the result of the round before.
func (t *track) judge(roster Roster, e *Effects) {
	result := t.round.Result
	e.Confirm = append(e.Confirm, Confirmation{
		Version: result.Version, Roster: roster, Holders: slices.Clone(result.Holders),
	})
	enough := result.Holders.Len(len(roster.Names)) >= roster.Currency()
	if at, ok := t.startedAfter(t.round.Number - 1); ok && enough {
		e.Proofs = append(e.Proofs, Proof{At: at, Version: result.Newest})
	}
	if at, ok := t.startedAfter(t.round.Number - 2); ok && result.StoreRead {
		e.Proofs = append(e.Proofs, Proof{At: at, Version: result.Newest})
	}
}

// answer adds this instance's own answer.
func (t *track) answer(index int, l Local) {
	own := Answers{Newest: l.Newest, StoreFailed: l.ReadFailed}
	own.StoreRead = !t.before.IsZero() && !l.ReadBegan.Before(t.before)
	if l.Ready && l.InForce >= t.round.Version {
		own.Holders.Add(index)
	} else {
		own.Others.Add(index)
	}
	t.answers.Merge(own)
}

// hold sets when the answers are passed on: the later, the nearer the root, so
// that most instances answer once for all behind them.
func (t *track) hold(now time.Time, members int) {
	if t.parent == "" {
		return
	}
	rest := max(depth(members)-t.round.Hops, 1)
	t.flushAt = now.Add(min(time.Duration(rest)*echoHoldPerHop, maxHold))
}

// depth estimates the longest path of a round.
func depth(members int) int {
	offsets := float64(len(spread.Graph{}.Offsets(members)))
	if offsets == 0 {
		return 1
	}
	return int(math.Ceil(offsets*math.Pow(float64(members), 1/offsets)/2)) + 1
}

// correct passes answers on that came after the first ones were.
func (t *track) correct(now time.Time) {
	if t.parent != "" && t.flushAt.IsZero() {
		t.flushAt = now.Add(echoCorrection)
	}
}

// flush passes the answers on when it is time.
func (t *track) flush(now time.Time, e *Effects) {
	if t.flushAt.IsZero() || now.Before(t.flushAt) {
		return
	}
	t.flushAt = time.Time{}
	echo := Echo{Answers: t.answers.clone(), Root: t.round.Root, Number: t.round.Number}
	e.Send = append(e.Send, Outgoing{To: t.parent, Echo: &echo})
}

func (a Answers) clone() Answers {
	a.Holders = slices.Clone(a.Holders)
	a.Others = slices.Clone(a.Others)
	return a
}
