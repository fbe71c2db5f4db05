package quorum

import (
	"math"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/spread"
)

// maxStartBounds is the number of recent rounds whose start bound is kept.
const maxStartBounds = 4

// startBound is a lower bound, on this instance's clock, of the time at which
// the root started a round.
type startBound struct {
	number uint64
	at     time.Time
}

// rootState is the state of the rounds of one root.
type rootState struct {
	round             Round
	parent            string       // sender of the round; empty at the root
	enteredAt         time.Time    // when this instance entered the round
	previousEnteredAt time.Time    // when it entered the previous round; zero if that was missed
	bounds            []startBound // in ascending order of number and time
	answers           Answers
	flushAt           time.Time // when the answers are sent to parent; zero if none are pending
}

// beginRound moves to a newer round. answered means that the result in round N
// contains this instance's answer to round N-1. In that case the root started
// N after this instance had entered N-1.
func (t *rootState) beginRound(now time.Time, from string, r Round, answered bool) {
	follows := r.Number == t.round.Number+1
	t.previousEnteredAt = time.Time{}
	if follows {
		t.previousEnteredAt = t.enteredAt
	}
	if follows && answered {
		t.bounds = append(t.bounds, startBound{number: r.Number, at: t.enteredAt})
		t.bounds = t.bounds[max(0, len(t.bounds)-maxStartBounds):]
	}
	t.round = r
	t.parent = from
	t.enteredAt = now
	t.answers = Answers{}
	t.flushAt = time.Time{}
}

// startLowerBound returns a time no later than the start of the round. Rounds
// start in order of number, so the bound of an earlier round also applies.
func (t *rootState) startLowerBound(number uint64) (time.Time, bool) {
	for _, b := range slices.Backward(t.bounds) {
		if b.number <= number {
			return b.at, true
		}
	}
	return time.Time{}, false
}

// evaluate derives confirmations and proofs from the result of the previous
// round.
func (t *rootState) evaluate(roster Roster, e *Effects) {
	result := t.round.Result
	e.Confirmations = append(e.Confirmations, Confirmation{
		Version: result.Version, Roster: roster, Holders: slices.Clone(result.Holders),
	})
	enough := result.Holders.Len(len(roster.Names)) >= roster.FreshnessQuorum()
	if at, ok := t.startLowerBound(t.round.Number - 1); ok && enough {
		e.Proofs = append(e.Proofs, Proof{At: at, Version: result.Newest})
	}
	if at, ok := t.startLowerBound(t.round.Number - 2); ok && result.TableRead {
		e.Proofs = append(e.Proofs, Proof{At: at, Version: result.Newest})
	}
}

// addOwnAnswer adds this instance's answer.
func (t *rootState) addOwnAnswer(index int, l LocalState) {
	own := Answers{Newest: l.Newest, TableReadFailed: l.ReadFailed}
	own.TableRead = !t.previousEnteredAt.IsZero() && !l.LastReadStart.Before(t.previousEnteredAt)
	if l.Ready && l.InForce >= t.round.Version {
		own.Holders.Add(index)
	} else {
		own.Others.Add(index)
	}
	t.answers.Merge(own)
}

// scheduleEcho sets when the answers are sent to parent. The delay is longer
// closer to the root, so that most instances send one echo for all instances
// behind them.
func (t *rootState) scheduleEcho(now time.Time, members int) {
	if t.parent == "" {
		return
	}
	rest := max(depth(members)-t.round.Hops, 1)
	t.flushAt = now.Add(min(time.Duration(rest)*echoDelayPerHop, maxEchoDelay))
}

// depth estimates the longest path of a round in hops.
func depth(members int) int {
	offsets := float64(len(spread.Graph{}.Offsets(members)))
	if offsets == 0 {
		return 1
	}
	return int(math.Ceil(offsets*math.Pow(float64(members), 1/offsets)/2)) + 1
}

// scheduleEchoUpdate schedules a further echo for answers that arrived after
// the first one was sent.
func (t *rootState) scheduleEchoUpdate(now time.Time) {
	if t.parent != "" && t.flushAt.IsZero() {
		t.flushAt = now.Add(echoUpdateDelay)
	}
}

// flushEcho sends the answers to parent if they are due.
func (t *rootState) flushEcho(now time.Time, e *Effects) {
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
