package rollout

import "time"

const (
	// storeMargin is the part of an order's duration that is kept before its deadline for
	// the write of the last phase, within the bounds.
	storeMargin    = 0.1
	minStoreMargin = time.Second
	maxStoreMargin = 4 * time.Second
	// stepPart is the length of a step of the shift relative to the duration.
	stepPart = 1.0 / 24
	minStep  = 400 * time.Millisecond
	maxStep  = 2 * time.Second
	// minTail and maxTailPart bound the time kept for the responses that still run on old
	// servers.
	minTail     = 500 * time.Millisecond
	maxTailPart = 0.25
	// slackPart of the duration, at most maxSlack, is kept for a change of the holder of the
	// duty during the shift: its lease must expire first.
	slackPart = 1.0 / 12
	maxSlack  = 4 * time.Second
	// minResponses is the number of the new version's responses without which it does not
	// get all traffic.
	minResponses = 5
)

// Schedule holds when the phases of a rollout begin, since the order was first seen. It is
// planned backwards from the deadline, so that it also fits short orders.
type Schedule struct {
	Quarter, Half, All time.Duration
	Last               time.Duration // when the last phase must be decided
}

// Plan returns the schedule of an order. tail is the usual time of the longest responses.
func Plan(o Order, tail time.Duration) Schedule {
	part := func(f float64) time.Duration { return time.Duration(f * float64(o.Duration)) }
	margin := min(max(part(storeMargin), minStoreMargin), maxStoreMargin)
	step := min(max(part(stepPart), minStep), maxStep)
	tail = min(max(tail, minTail), part(maxTailPart))
	s := Schedule{Last: max(o.Duration-margin, 0)}
	s.All = max(s.Last-tail-min(part(slackPart), maxSlack), 0)
	s.Half = max(s.All-step, 0)
	s.Quarter = max(s.Half-step, 0)
	return s
}

// Inputs is what the next state is decided by.
type Inputs struct {
	Now  time.Duration // the store's clock
	Tail time.Duration // see Plan
	Bad  string        // why the version is bad; empty if it is not
	// Doubt is the highest log-likelihood ratio of bad to good; see Judge.Doubt.
	Doubt float64
	// NewServers is the number of usable servers of the new version.
	NewServers int
	// Responses is the number of the new version's responses that were counted.
	Responses int64
	// OldIdle is true if every instance has reported that it sends to the new version only
	// and that none of its requests runs on an old server.
	OldIdle bool
}

// Next decides the next state. It handles load that exposes a bad version only as traffic
// shifts: each step is kept for its time, and the rollout is reverted on a bad verdict, at
// any step. A final phase never changes.
func Next(o Order, s State, in Inputs) State {
	if s.Phase.Final() {
		return s
	}
	schedule := Plan(o, in.Tail)
	elapsed := in.Now - time.Duration(s.StartedMillis)*time.Millisecond
	inStep := in.Now - time.Duration(s.StepMillis)*time.Millisecond
	switch {
	case in.Bad != "":
		return s.end(Reverted, in.Bad, in.Now)
	case elapsed >= schedule.Last:
		return s.last(in)
	case in.NewServers == 0:
		return s
	case s.Step == All && in.OldIdle:
		return s.end(Complete, "no request runs on an old server", in.Now)
	case s.Step == Observe && elapsed >= schedule.Quarter:
		return s.advance(Quarter, in.Now)
	case s.Step == Quarter && elapsed >= schedule.Half && inStep >= schedule.Half-schedule.Quarter:
		return s.advance(Half, in.Now)
	case s.Step == Half && elapsed >= schedule.All && inStep >= schedule.All-schedule.Half && in.Responses >= minResponses && in.Doubt < doubtLLR:
		return s.advance(All, in.Now)
	}
	return s
}

// last decides the last phase shortly before the deadline.
func (s State) last(in Inputs) State {
	switch {
	case in.NewServers == 0:
		return s.end(Reverted, "the service has no server of the version", in.Now)
	case in.Doubt >= doubtLLR:
		return s.end(Reverted, "the version is probably bad, without a verdict before the deadline", in.Now)
	case s.Step != All:
		return s.end(Reverted, "too little evidence before the deadline", in.Now)
	}
	return s.end(Complete, "deadline", in.Now)
}

func (s State) advance(step Step, now time.Duration) State {
	s.Step, s.StepMillis = step, now.Milliseconds()
	return s
}

func (s State) end(p Phase, reason string, now time.Duration) State {
	s.Phase, s.Reason, s.StepMillis = p, reason, now.Milliseconds()
	return s
}
