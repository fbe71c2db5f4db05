package invariant

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

type event = timeline.Event

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at sets an event's instance and its time in milliseconds after epoch.
func at(ms int, instance string, e event) event {
	e.Time = epoch.Add(time.Duration(ms) * time.Millisecond)
	e.Instance = instance
	return e
}

func until(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// setSequences numbers the events of each instance in slice order.
func setSequences(events []event) []event {
	next := make(map[string]uint64)
	for i := range events {
		events[i].Sequence = next[events[i].Instance]
		next[events[i].Instance]++
	}
	return events
}

// answeredRequest returns the events of one idempotent request that is answered.
func answeredRequest(ms int, id string) []event {
	attempt := "att-" + id
	sent := event{Request: id, Attempt: attempt, Server: "s1", Zone: "z1", Organisation: "o", KeyDigest: "k", Idempotent: true, Tier: 1}
	started, first := sent, sent
	started.Kind, first.Kind = timeline.AttemptStarted, timeline.AttemptSent
	return []event{
		at(ms, "a", event{Kind: timeline.RequestReceived, Request: id, Organisation: "o"}),
		at(ms, "a", event{Kind: timeline.KeyAccepted, Request: id, Organisation: "o", KeyDigest: "k"}),
		at(ms+1, "a", event{Kind: timeline.RequestQueued, Request: id, Tier: 1, Class: "c", Service: "m"}),
		at(ms+2, "a", event{Kind: timeline.RequestAdmitted, Request: id, Tier: 1, Class: "c", Service: "m"}),
		at(ms+2, "a", started),
		at(ms+3, "a", first),
		at(ms+9, "a", event{Kind: timeline.AttemptAnswered, Request: id, Attempt: attempt, Server: "s1", Count: 5}),
		at(ms+9, "a", event{Kind: timeline.RequestAnswered, Request: id, Attempt: attempt, Server: "s1", Count: 5}),
	}
}

// nonIdempotentRequest returns the events of a request whose record is inserted
// before it is sent.
func nonIdempotentRequest(ms int, id, record string) []event {
	events := answeredRequest(ms, id)
	for i := range events {
		events[i].Idempotent = false
		if events[i].Attempt != "" {
			events[i].Record = record
		}
	}
	inserted := at(ms+2, "a", event{Kind: timeline.RecordInserted, Record: record, Attempt: "att-" + id})
	ran := at(ms+5, "s1", event{Kind: timeline.BackendRan, Server: "s1", Record: record, Attempt: "att-" + id})
	return append([]event{inserted}, append(events, ran)...)
}

// lease returns the acquisition of a lease that lasts from one time to another.
func lease(instance string, token uint64, from, to int) event {
	return at(from, instance, event{Kind: timeline.LeaseAcquired, Duty: "d", Token: token, Until: until(to)})
}

func ordered(ms int, instance string, token uint64) event {
	return at(ms, instance, event{Kind: timeline.OrderSent, Duty: "d", Token: token, Order: fmt.Sprint("o", ms)})
}

func reported(ms int, instance string, token uint64, count int64) event {
	return at(ms, instance, event{Kind: timeline.UsageReported, Duty: "d", Token: token, Window: "w", Organisation: "o", Count: count})
}

func sentTo(ms int, id, server, zone string) event {
	return at(ms, "a", event{Kind: timeline.AttemptSent, Request: "r" + id, Attempt: id, Server: server, Zone: zone, Idempotent: true})
}

func received(ms int, inFlight int64) event {
	return at(ms, "s1", event{Kind: timeline.BackendReceived, Server: "s1", Count: inFlight})
}

func limit(ms int, n int64) event {
	return at(ms, "s1", event{Kind: timeline.ServerLimit, Server: "s1", Count: n})
}

func state(ms int, instance, s string) event {
	return at(ms, instance, event{Kind: timeline.ServerState, Server: "s1", State: s})
}

func version(ms int, instance string, kind timeline.Kind, v uint64) event {
	return at(ms, instance, event{Kind: kind, Version: v})
}

// starved returns events of a class that waits while n requests of another start.
func starved(n int) []event {
	events := []event{at(0, "a", event{Kind: timeline.RequestQueued, Request: "poor", Class: "low", Tier: 7, Service: "m"})}
	for i := range n {
		id := fmt.Sprint("rich", i)
		events = append(events, at(i+1, "a", event{Kind: timeline.RequestAdmitted, Request: id, Class: "high", Tier: 1, Service: "m"}))
	}
	return events
}

// alwaysRefused returns events of a class whose requests are all refused for
// overload on arrival while n requests of another class start.
func alwaysRefused(n int) []event {
	events := starved(n)[1:]
	for i := range 3 {
		id := fmt.Sprint("poor", i)
		events = append(events,
			at(i, "a", event{Kind: timeline.RequestQueued, Request: id, Class: "low", Tier: 7, Service: "m"}),
			at(i, "a", event{Kind: timeline.RequestRefused, Request: id, Code: result.Shed, NotRun: true}))
	}
	return events
}

// shedWhileOtherStarts sheds a tier 1 request on instance a while instance b starts
// n requests of tier 5.
func shedWhileOtherStarts(n int) []event {
	events := []event{at(0, "a", event{Kind: timeline.RequestQueued, Request: "r", Class: "high", Tier: 1, Service: "m"})}
	for i := range n {
		events = append(events, at(10+i, "b", event{Kind: timeline.RequestAdmitted, Request: fmt.Sprint("l", i), Class: "low", Tier: 5, Service: "m"}))
	}
	return append(events, at(100, "a", event{Kind: timeline.RequestShed, Request: "r", Class: "high", Tier: 1, Service: "m", Code: result.Shed}))
}

func drop(events []event, kind timeline.Kind) []event {
	return slices.DeleteFunc(slices.Clone(events), func(e event) bool { return e.Kind == kind })
}

func edit(events []event, kind timeline.Kind, f func(*event)) []event {
	events = slices.Clone(events)
	for i := range events {
		if events[i].Kind == kind {
			f(&events[i])
		}
	}
	return events
}

func refusedNotRun(ms int, id string, c result.Code, record string) event {
	return at(ms, "a", event{Kind: timeline.RequestRefused, Request: id, Code: c, NotRun: true, Record: record})
}

// timelines holds, by check, timelines that it must accept and timelines that it
// must reject.
var timelines = map[string]struct{ valid, invalid map[string][]event }{
	"tier_order": {
		valid: map[string][]event{
			"lower tier gives way":      {at(1, "a", event{Kind: timeline.RequestPreempted, Tier: 5, OtherTier: 1}), at(2, "a", event{Kind: timeline.RequestShed, Tier: 5, OtherTier: 5})},
			"lower class has its floor": shedWhileOtherStarts(1),
		},
		invalid: map[string][]event{
			"preempted for a lower tier":  {at(1, "a", event{Kind: timeline.RequestPreempted, Tier: 1, OtherTier: 5})},
			"preempted for its own tier":  {at(1, "a", event{Kind: timeline.RequestPreempted, Tier: 3, OtherTier: 3})},
			"shed before a lower tier":    {at(1, "a", event{Kind: timeline.RequestShed, Tier: 1, OtherTier: 2})},
			"lower tier starts elsewhere": shedWhileOtherStarts(5),
		},
	},
	"no_starvation": {
		valid:   map[string][]event{"within the floor": starved(150), "few refusals": alwaysRefused(150)},
		invalid: map[string][]event{"waits for good": starved(450), "always refused": alwaysRefused(450)},
	},
	"key_scope": {
		valid: map[string][]event{
			"withdrawn later": append(answeredRequest(0, "r"), at(20, "a", event{Kind: timeline.KeyWithdrawn, KeyDigest: "k", Organisation: "o"})),
			"granted again": append([]event{
				at(0, "a", event{Kind: timeline.KeyWithdrawn, KeyDigest: "k", Organisation: "o", Version: 1}),
				at(1, "a", event{Kind: timeline.KeyGranted, KeyDigest: "k", Organisation: "o", Version: 2}),
				at(2, "b", event{Kind: timeline.KeyWithdrawn, KeyDigest: "k", Organisation: "o", Version: 1})}, answeredRequest(5000, "r")...),
			"open route": edit(sentOnly(), timeline.AttemptSent, func(e *event) { e.Organisation, e.KeyDigest = "", "" }),
		},
		invalid: map[string][]event{
			"works after withdrawal":  append(answeredRequest(5000, "r"), at(0, "a", event{Kind: timeline.KeyWithdrawn, KeyDigest: "k", Organisation: "o"})),
			"stream outlives its key": append(edit(answeredRequest(0, "r"), timeline.RequestAnswered, func(e *event) { e.Time = until(5000) }), at(20, "a", event{Kind: timeline.KeyWithdrawn, KeyDigest: "k", Organisation: "o"})),
			"other organisation":      edit(answeredRequest(0, "r"), timeline.AttemptSent, func(e *event) { e.Organisation = "p" }),
			"grant of another":        append(answeredRequest(5, "r"), at(0, "a", event{Kind: timeline.KeyGranted, KeyDigest: "k", Organisation: "p"})),
			"without a key":           edit(answeredRequest(0, "r"), timeline.AttemptSent, func(e *event) { e.KeyDigest = "" }),
			"backend sees the key":    {at(0, "s1", event{Kind: timeline.BackendReceived, Server: "s1", KeyDigest: "k"})},
		},
	},
	"single_order_sender": {
		valid: map[string][]event{
			"takeover after expiry":  {lease("a", 1, 0, 100), ordered(50, "a", 1), lease("b", 2, 150, 300), ordered(200, "b", 2)},
			"takeover after release": {lease("a", 1, 0, 100), at(10, "a", event{Kind: timeline.LeaseReleased, Duty: "d", Token: 1}), lease("b", 2, 20, 100), ordered(50, "b", 2)},
			"renewed":                {lease("a", 1, 0, 100), at(90, "a", event{Kind: timeline.LeaseRenewed, Duty: "d", Token: 1, Until: until(200)}), ordered(150, "a", 1)},
		},
		invalid: map[string][]event{
			"two holders":            {lease("a", 1, 0, 100), lease("b", 2, 50, 300), ordered(70, "b", 2)},
			"after expiry":           {lease("a", 1, 0, 100), ordered(120, "a", 1)},
			"after release":          {lease("a", 1, 0, 100), at(10, "a", event{Kind: timeline.LeaseReleased, Duty: "d", Token: 1}), ordered(50, "a", 1)},
			"without a lease":        {ordered(10, "a", 1)},
			"same token":             {lease("a", 1, 0, 100), lease("b", 1, 200, 300), ordered(250, "b", 1)},
			"old token takes effect": {at(0, "p", event{Kind: timeline.PlatformOrder, Duty: "d", Token: 2, Order: "x"}), at(1, "p", event{Kind: timeline.PlatformOrder, Duty: "d", Token: 1, Order: "y"})},
			"ordered twice":          {at(0, "p", event{Kind: timeline.PlatformOrder, Duty: "d", Token: 2, Order: "x"}), at(1, "p", event{Kind: timeline.PlatformOrder, Duty: "d", Token: 2, Order: "x"})},
		},
	},
	"usage_reported_once": {
		valid: map[string][]event{
			"resent with the same figures": {lease("a", 1, 0, 100), reported(10, "a", 1, 7), lease("b", 2, 150, 300), reported(200, "b", 2, 7)},
			"late line of its own":         {lease("a", 1, 0, 100), reported(10, "a", 1, 7), at(20, "a", event{Kind: timeline.UsageReported, Duty: "d", Token: 1, Window: "w", Organisation: "o", Subject: "v", Count: 2})},
		},
		invalid: map[string][]event{
			"different figures": {lease("a", 1, 0, 100), reported(10, "a", 1, 7), reported(20, "a", 1, 8)},
			"not as frozen":     {at(0, "a", event{Kind: timeline.UsageFrozen, Window: "w", Organisation: "o", Count: 6}), lease("a", 1, 0, 100), reported(10, "a", 1, 7)},
			"two reporters":     {lease("a", 1, 0, 100), lease("b", 2, 50, 300), reported(70, "a", 1, 7)},
			"old reporter":      {at(0, "p", event{Kind: timeline.PlatformUsage, Duty: "d", Token: 2, Window: "w", Organisation: "o"}), at(1, "p", event{Kind: timeline.PlatformUsage, Duty: "d", Token: 1, Window: "x", Organisation: "o"})},
		},
	},
	"cold_limit": {
		valid: map[string][]event{
			"within the limit":      {limit(0, 1), received(1, 1), limit(2, 2), received(3, 2), limit(4, 0), received(5, 9)},
			"cold without warning":  {received(0, 9), limit(1, 1), received(2, 9)},
			"other instance's view": {limit(0, 0), at(1, "b", event{Kind: timeline.ServerLimit, Server: "s1", Count: 1}), received(2, 9)},
			"sum of attempts":       {limit(0, 1), sentTo(1, "x", "s1", "z1"), at(2, "a", event{Kind: timeline.AttemptFailed, Attempt: "x", Server: "s1"}), sentTo(3, "y", "s1", "z1")},
		},
		invalid: map[string][]event{
			"fresh server overrun": {limit(0, 1), received(1, 2)},
			"notice passed":        {received(0, 9), limit(1, 1), received(4000, 9)},
			"sum over instances":   {limit(0, 1), sentTo(1, "x", "s1", "z1"), at(2, "b", sentTo(0, "y", "s1", "z1"))},
		},
	},
	"zone_out": {
		valid: map[string][]event{
			"in again": {at(0, "a", event{Kind: timeline.ZoneDrained, Zone: "z1", Version: 1}), at(9000, "a", event{Kind: timeline.ZoneRestored, Zone: "z1", Version: 2}),
				at(9001, "b", event{Kind: timeline.ZoneDrained, Zone: "z1", Version: 1}), sentTo(20000, "x", "s1", "z1")},
			"in again, seen first": {at(0, "a", event{Kind: timeline.ZoneDrained, Zone: "z1", Version: 1}), version(9000, "a", timeline.ConfigApplied, 2),
				sentTo(9001, "x", "s1", "z1"), at(9002, "b", event{Kind: timeline.ZoneRestored, Zone: "z1", Version: 2})},
			"other zone": {at(0, "a", event{Kind: timeline.ZoneDrained, Zone: "z1"}), sentTo(20000, "x", "s1", "z2")},
		},
		invalid: map[string][]event{
			"still used": {at(0, "a", event{Kind: timeline.ZoneDrained, Zone: "z1"}), sentTo(6000, "x", "s1", "z1")},
			"used before its return is in force": {at(0, "a", event{Kind: timeline.ZoneDrained, Zone: "z1", Version: 1}), version(0, "a", timeline.ConfigApplied, 1),
				sentTo(9001, "x", "s1", "z1"), at(9002, "b", event{Kind: timeline.ZoneRestored, Zone: "z1", Version: 2})},
		},
	},
	"whole_answer": {
		valid: map[string][]event{
			"whole": answeredRequest(0, "r"),
			"stored answer": append(nonIdempotentRequest(0, "r", "rec"), at(30, "a", event{Kind: timeline.RecordAnswered, Record: "rec"}),
				at(40, "b", event{Kind: timeline.RequestReceived, Request: "r2"}), at(41, "b", event{Kind: timeline.RequestAnswered, Request: "r2", Record: "rec", Count: 1})),
			"instance died": {at(0, "a", event{Kind: timeline.RequestReceived, Request: "r"}), at(1, "a", event{Kind: timeline.InstanceStarted}), at(3600_000, "a", event{Kind: timeline.PeerUp})},
		},
		invalid: map[string][]event{
			"another's answer":    append(answeredRequest(0, "r"), at(20, "a", event{Kind: timeline.RequestAnswered, Request: "q", Attempt: "att-r"})),
			"missing events":      edit(answeredRequest(0, "r"), timeline.RequestAnswered, func(e *event) { e.Count = 4 }),
			"discarded answer":    append(answeredRequest(0, "r"), at(5, "a", event{Kind: timeline.AttemptDiscarded, Attempt: "att-r"})),
			"crossed answer":      append(answeredRequest(0, "r"), at(5, "s1", event{Kind: timeline.BackendMisattributed, Attempt: "att-r"})),
			"attempt never ended": drop(answeredRequest(0, "r"), timeline.AttemptAnswered),
			"never ended":         {at(0, "a", event{Kind: timeline.RequestReceived, Request: "r"}), at(3600_000, "a", event{Kind: timeline.PeerUp})},
			"ended twice":         append(answeredRequest(0, "r"), at(20, "a", event{Kind: timeline.RequestFailed, Request: "r"})),
			"no stored answer":    {at(41, "b", event{Kind: timeline.RequestAnswered, Request: "r2", Record: "rec"})},
		},
	},
	"whole_stream": {
		valid: map[string][]event{
			"one run":                resumedStream(ids(1, 43), ids(44, 43)),
			"resumed elsewhere":      resumedStream(ids(1, 16), ids(17, 43)),
			"resumed by the caller":  edit(resumedStream(ids(8, 16), ids(17, 43)), timeline.AttemptSent, func(e *event) { e.Detail = strings.Replace(e.Detail, `""`, `"7"`, 1) }),
			"resumed before a piece": edit(resumedStream(ids(1, 0), ids(1, 43)), timeline.AttemptSent, func(e *event) { e.Detail = `resume_after=""` }),
			"asked for more":         resumedStream(ids(1, 43), ids(1, 0)),
			"ids count no events":    resumedStream(runOf{100, 900, 16, 70}, runOf{950, 2000, 27, 50}),
			"without ids":            withoutIDs(resumedStream(ids(1, 16), ids(17, 43))),
			"no details":             edit(resumedStream(ids(1, 16), ids(19, 43)), timeline.RequestAnswered, func(e *event) { e.Detail = "" }),
			"end confirmed":          unframedStream(timeline.SameProcess),
			"start not stated":       unframedStream(timeline.SameServer),
			"broken off":             edit(resumedStream(ids(1, 16), ids(19, 43)), timeline.RequestAnswered, func(e *event) { e.Kind = timeline.RequestFailed }),
			"served twice at once":   append(unframedStream("gone"), at(4, "a", event{Kind: timeline.RequestReceived, Request: "r"})),
		},
		invalid: map[string][]event{
			"gap between runs":          resumedStream(ids(1, 16), ids(18, 43)),
			"run starts again":          resumedStream(ids(1, 16), ids(1, 43)),
			"overlap of one":            resumedStream(ids(1, 16), ids(16, 43)),
			"overlap of uncounted ids":  resumedStream(runOf{100, 900, 16, 70}, runOf{880, 2000, 27, 50}),
			"gap within a run":          resumedStream(runOf{1, 18, 16, 3}, ids(19, 43)),
			"fewer events than ids":     resumedStream(runOf{1, 18, 16, 1}, ids(19, 43)),
			"gap beside ids left out":   resumedStream(runOf{1, 18, 18, 3}, ids(19, 43)),
			"ids that fall":             resumedStream(runOf{900, 100, 16, 0}, ids(101, 143)),
			"ids of another form":       edit(resumedStream(ids(1, 16), ids(17, 43)), timeline.RequestAnswered, func(e *event) { e.Detail = strings.Replace(e.Detail, `"43"`, `"x43"`, 1) }),
			"ids that jump":             resumedStream(ids(1, 2), runOf{3, 900719925474, 2, 900719925471}),
			"resumed after another id":  edit(resumedStream(ids(1, 16), ids(17, 43)), timeline.AttemptSent, func(e *event) { e.Detail = strings.Replace(e.Detail, `"16"`, `"15"`, 1) }),
			"event not received":        edit(resumedStream(ids(1, 16), ids(17, 43)), timeline.RequestAnswered, func(e *event) { e.Count++ }),
			"end of a server that left": unframedStream("gone"),
			"end of a new process":      unframedStream("restarted"),
			"end without an answer":     unframedStream("silent"),
			"end not checked":           drop(unframedStream(timeline.SameProcess), timeline.AttemptUnframed),
			"end checked too late": append(drop(unframedStream(""), timeline.AttemptUnframed),
				at(20, "a", event{Kind: timeline.AttemptUnframed, Request: "r", Attempt: "r", Server: "s1", State: timeline.SameProcess})),
			"check of an earlier run": append(resumedUnframed(),
				at(5, "a", event{Kind: timeline.AttemptUnframed, Request: "r", Attempt: "r", Server: "s1", State: timeline.SameProcess})),
		},
	},
	"not_run_is_true": {
		valid: map[string][]event{
			"refused in the queue": {at(0, "a", event{Kind: timeline.RequestReceived, Request: "r"}), refusedNotRun(1, "r", result.Shed, "")},
			"declined":             append(declined(0, "r"), refusedNotRun(9, "r", result.Shed, "")),
			"may have run":         append(drop(answeredRequest(0, "r"), timeline.RequestAnswered), at(9, "a", event{Kind: timeline.RequestFailed, Request: "r", Code: result.StreamBroken})),
		},
		invalid: map[string][]event{
			"sent before":           append(drop(answeredRequest(0, "r"), timeline.RequestAnswered), refusedNotRun(20, "r", result.Shed, "")),
			"sent later":            append(drop(answeredRequest(50, "r"), timeline.RequestAnswered), refusedNotRun(20, "r", result.QueueTimeout, "")),
			"backend server saw it": {at(0, "a", event{Kind: timeline.AttemptStarted, Request: "r", Attempt: "x"}), at(1, "s1", event{Kind: timeline.BackendReceived, Attempt: "x"}), refusedNotRun(2, "r", result.ConnectFailed, "")},
			"declined, sent again":  append(declined(0, "r"), at(8, "a", event{Kind: timeline.AttemptSent, Request: "r", Attempt: "r", Record: "r"}), refusedNotRun(9, "r", result.Shed, "")),
			"declined but ran":      append(declined(0, "r"), at(1, "s1", event{Kind: timeline.BackendRan, Attempt: "r"}), refusedNotRun(9, "r", result.Shed, "")),
			"its record ran":        append(nonIdempotentRequest(0, "r", "rec"), refusedNotRun(90, "dup", result.AlreadyRunning, "rec")),
		},
	},
	"at_most_once": {
		valid: map[string][]event{
			"once":                         nonIdempotentRequest(0, "r", "rec"),
			"own id":                       {ownRecord(0, "r")},
			"sent elsewhere once declined": append(declined(0, "r"), ownRecord(5, "r")),
			"released and inserted anew": append([]event{at(0, "b", event{Kind: timeline.RecordInserted, Record: "rec", Attempt: "x"}),
				at(1, "b", event{Kind: timeline.RecordReleased, Record: "rec", Attempt: "x"})}, nonIdempotentRequest(5, "r", "rec")...),
		},
		invalid: map[string][]event{
			"own id sent twice":   {ownRecord(0, "r"), ownRecord(5, "r")},
			"ran twice":           append(nonIdempotentRequest(0, "r", "rec"), at(50, "s2", event{Kind: timeline.BackendRan, Record: "rec", Attempt: "other"})),
			"sent twice":          append(nonIdempotentRequest(0, "r", "rec"), nonIdempotentRequest(50, "q", "rec")...),
			"sent without insert": drop(nonIdempotentRequest(0, "r", "rec"), timeline.RecordInserted),
			"no record":           edit(answeredRequest(0, "r"), timeline.AttemptSent, func(e *event) { e.Idempotent = false }),
			"released after sent": append(nonIdempotentRequest(0, "r", "rec"), at(50, "a", event{Kind: timeline.RecordReleased, Record: "rec", Attempt: "att-r"})),
			"another's insert":    edit(nonIdempotentRequest(0, "r", "rec"), timeline.RecordInserted, func(e *event) { e.Attempt = "x" }),
		},
	},
	"leaving_server": {
		valid: map[string][]event{
			"no new work":   {state(0, "a", "leaving"), sentTo(100, "x", "s1", "z1")},
			"started again": {state(0, "a", "leaving"), state(7000, "b", "starting"), sentTo(9000, "x", "s1", "z1")},
		},
		invalid: map[string][]event{
			"still used":         {state(0, "a", "leaving"), sentTo(6000, "x", "s1", "z1")},
			"late view of other": {state(0, "a", "draining"), state(100, "b", "warm"), sentTo(6000, "x", "s1", "z1")},
		},
	},
	"graceful_stop": {
		valid: map[string][]event{
			"all ended":       append(answeredRequest(0, "r"), at(5, "a", event{Kind: timeline.InstanceDraining}), at(20, "a", event{Kind: timeline.InstanceStopped})),
			"operator forced": {at(0, "a", event{Kind: timeline.InstanceDraining}), at(1, "a", event{Kind: timeline.InstanceStopped, Count: 3, State: "forced"})},
			"returned idle":   append(answeredRequest(0, "r"), at(20, "b", event{Kind: timeline.OrderSent, State: "return", Server: "s1"})),
		},
		invalid: map[string][]event{
			"cut off":        {at(0, "a", event{Kind: timeline.InstanceDraining}), at(1, "a", event{Kind: timeline.InstanceStopped, Count: 1})},
			"open request":   {at(0, "a", event{Kind: timeline.InstanceDraining}), at(1, "a", event{Kind: timeline.RequestReceived, Request: "r"}), at(2, "a", event{Kind: timeline.InstanceStopped})},
			"failed by stop": {at(0, "a", event{Kind: timeline.RequestFailed, Request: "r", Code: result.InstanceDraining})},
			"returned busy":  append(answeredRequest(0, "r"), at(5, "b", event{Kind: timeline.OrderSent, State: "return", Server: "s1"})),
		},
	},
	"config_in_force": {
		valid: map[string][]event{
			"spread": {version(0, "a", timeline.ConfigApplied, 1), version(0, "b", timeline.ConfigApplied, 1), version(10, "a", timeline.ConfigAccepted, 2), version(11, "a", timeline.ConfigApplied, 2),
				version(900, "b", timeline.ConfigApplied, 2), at(9000, "b", event{Kind: timeline.RequestAdmitted})},
			"cut off and stale": {version(0, "b", timeline.ConfigApplied, 1), version(10, "a", timeline.ConfigAccepted, 2), at(4000, "b", event{Kind: timeline.InstanceStale}), at(9000, "b", event{Kind: timeline.PeerDown})},
		},
		invalid: map[string][]event{
			"reverts":         {version(0, "a", timeline.ConfigApplied, 2), at(1, "a", event{Kind: timeline.InstanceStarted}), version(2, "a", timeline.ConfigApplied, 1)},
			"old version":     {version(0, "b", timeline.ConfigApplied, 1), version(10, "a", timeline.ConfigAccepted, 2), at(9000, "b", event{Kind: timeline.RequestAdmitted}), version(9001, "b", timeline.ConfigApplied, 2)},
			"never applied":   {version(0, "b", timeline.ConfigApplied, 1), version(10, "a", timeline.ConfigAccepted, 2), at(9000, "b", event{Kind: timeline.PeerUp})},
			"committed twice": {version(0, "a", timeline.ConfigAccepted, 2), version(1, "b", timeline.ConfigAccepted, 2)},
		},
	},
}

// runOf describes the events of one run of a stream.
type runOf struct{ first, last, events, step int64 }

// ids returns a run whose ids count its events; without events if last is below first.
func ids(first, last int64) runOf { return runOf{first, last, max(0, last-first+1), 1} }

// detail returns the run's fields as the gateway writes them.
func (r runOf) detail(framing string) string {
	if r.events == 0 {
		return "framing=" + framing + ` run_events=0 first_id="" last_id="" id_step=0`
	}
	return fmt.Sprintf("framing=%s run_events=%d first_id=%q last_id=%q id_step=%d", framing, r.events, fmt.Sprint(r.first), fmt.Sprint(r.last), r.step)
}

// resumedStream returns the events of a stream that breaks off on s1 and ends on s2.
func resumedStream(a, b runOf) []event {
	after := func(id int64) string { return fmt.Sprintf("repeat=false resume_after=%q", fmt.Sprint(id)) }
	return []event{
		at(0, "a", event{Kind: timeline.RequestReceived, Request: "r"}),
		at(1, "a", event{Kind: timeline.AttemptSent, Request: "r", Attempt: "r", Server: "s1", Detail: `repeat=false resume_after=""`}),
		at(6, "a", event{Kind: timeline.AttemptFailed, Request: "r", Attempt: "r", Server: "s1", Count: a.events, Detail: "EOF " + a.detail("chunks")}),
		at(7, "a", event{Kind: timeline.AttemptSent, Request: "r", Attempt: "r", Server: "s2", Detail: after(a.last)}),
		at(9, "a", event{Kind: timeline.RequestAnswered, Request: "r", Attempt: "r", Server: "s2", Count: a.events + b.events, Detail: "first_event_ms=2 " + b.detail("chunks")}),
	}
}

// resumedUnframed returns resumedStream with a last run that ends with its connection.
func resumedUnframed() []event {
	return edit(resumedStream(ids(1, 16), ids(17, 43)), timeline.RequestAnswered, func(e *event) { e.Detail = ids(17, 43).detail("connection") })
}

// unframedStream returns the events of a stream on s1 that ends with its connection.
func unframedStream(found string) []event {
	return []event{
		at(0, "a", event{Kind: timeline.RequestReceived, Request: "r"}),
		at(1, "a", event{Kind: timeline.AttemptSent, Request: "r", Attempt: "r", Server: "s1", Detail: `resume_after=""`}),
		at(8, "a", event{Kind: timeline.AttemptUnframed, Request: "r", Attempt: "r", Server: "s1", Count: 43, State: found}),
		at(9, "a", event{Kind: timeline.RequestAnswered, Request: "r", Attempt: "r", Server: "s1", Count: 43, Detail: ids(1, 43).detail("connection")}),
	}
}

// withoutIDs removes the ids from the details of attempts.
func withoutIDs(events []event) []event {
	events = slices.Clone(events)
	for i := range events {
		events[i].Detail = idPattern.ReplaceAllString(events[i].Detail, `$1""`)
	}
	return events
}

var idPattern = regexp.MustCompile(`((?:first_id|last_id|resume_after)=)"\d+"`)

// ownRecord returns the sending of an attempt whose record is its own id.
func ownRecord(ms int, id string) event {
	return at(ms, "a", event{Kind: timeline.AttemptSent, Request: id, Attempt: id, Record: id})
}

// declined returns events of a request that its backend server proved not to have run.
func declined(ms int, id string) []event {
	return []event{
		at(ms, "a", event{Kind: timeline.RequestReceived, Request: id}), ownRecord(ms, id),
		at(ms+4, "a", event{Kind: timeline.AttemptDeclined, Request: id, Attempt: id, Record: id}),
	}
}

func sentOnly() []event { return []event{sentTo(0, "x", "s1", "z1")} }

// Every check must accept its valid timelines and report its invalid ones.
func TestChecks(t *testing.T) {
	is := is.New(t)
	is.Equal(len(timelines), len(Checks()))
	for _, c := range Checks() {
		lines := timelines[c.Name]
		is.True(len(lines.valid) > 0 && len(lines.invalid) > 0) // both kinds for every check
		o := Options{Complete: true, Only: []string{c.Name}}
		for name, events := range lines.valid {
			if found := Check(setSequences(events), o); len(found) > 0 {
				t.Errorf("%s: valid timeline %q: %v", c.Name, name, found)
			}
		}
		for name, events := range lines.invalid {
			if len(Check(setSequences(events), o)) == 0 {
				t.Errorf("%s: invalid timeline %q passes", c.Name, name)
			}
		}
	}
}

func TestValidRun(t *testing.T) {
	is := is.New(t)
	events := append(answeredRequest(0, "r1"), nonIdempotentRequest(5, "r2", "rec")...)
	is.Equal(Check(setSequences(events), Options{Complete: true}), nil)
}

// Overlaps shorter than ClockSkew are no violation; longer ones are.
func TestClockSkew(t *testing.T) {
	is := is.New(t)
	events := setSequences([]event{lease("a", 1, 0, 100), lease("b", 2, 60, 300), ordered(90, "b", 2)})
	o := Options{Only: []string{"single_order_sender"}, ClockSkew: 50 * time.Millisecond}
	is.Equal(len(Check(events, o)), 0)
	o.ClockSkew = 5 * time.Millisecond
	is.Equal(len(Check(events, o)), 1)
}

// Missing old events must not be reported unless the timeline is complete.
func TestIncompleteTimeline(t *testing.T) {
	is := is.New(t)
	events := setSequences(nonIdempotentRequest(0, "r", "rec"))
	for cut := range events {
		is.Equal(Check(events[cut:], Options{}), nil)
	}
}

// Events without fields must not cause a panic.
func TestEmptyEvents(t *testing.T) {
	for _, kind := range kinds {
		Check([]event{{Kind: kind}}, Options{Complete: true})
		Check([]event{{Kind: kind}}, Options{})
	}
}

var kinds = []timeline.Kind{
	timeline.RequestReceived, timeline.RequestQueued, timeline.RequestAdmitted, timeline.RequestShed, timeline.RequestPreempted,
	timeline.RequestAnswered, timeline.RequestRefused, timeline.RequestFailed, timeline.AttemptStarted, timeline.AttemptSent,
	timeline.AttemptAnswered, timeline.AttemptFailed, timeline.AttemptDeclined, timeline.AttemptUnframed, timeline.AttemptDiscarded, timeline.KeyAccepted, timeline.RecordInserted,
	timeline.RecordAnswered, timeline.RecordReleased, timeline.ConfigAccepted, timeline.ConfigApplied, timeline.KeyGranted,
	timeline.KeyWithdrawn, timeline.ZoneDrained, timeline.ZoneRestored, timeline.InstanceStarted, timeline.InstanceDraining,
	timeline.InstanceStopped, timeline.InstanceStale, timeline.LeaseAcquired, timeline.LeaseRenewed, timeline.LeaseLost,
	timeline.LeaseReleased, timeline.OrderSent, timeline.UsageFrozen, timeline.UsageReported, timeline.ServerState,
	timeline.ServerLimit, timeline.BackendRan, timeline.BackendReceived, timeline.BackendMisattributed, timeline.PlatformOrder, timeline.PlatformUsage,
}

// The checks must accept any timeline, and the order of its events must not change
// the violations.
func TestCheckOrderIndependent(t *testing.T) {
	name := rapid.SampledFrom([]string{"", "x", "y"})
	small := rapid.IntRange(0, 3)
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				Time: epoch.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
				Instance: name.Draw(t, "instance"), Sequence: rapid.Uint64Range(0, math.MaxInt64).Draw(t, "sequence"), Request: name.Draw(t, "request"),
				Attempt: name.Draw(t, "attempt"), Server: name.Draw(t, "server"), Record: name.Draw(t, "record"), Duty: name.Draw(t, "duty"),
				Tier: small.Draw(t, "tier"), OtherTier: small.Draw(t, "other"), Version: uint64(small.Draw(t, "version")), Count: int64(small.Draw(t, "count")),
				KeyDigest: name.Draw(t, "key"), Organisation: name.Draw(t, "organisation"), NotRun: rapid.Bool().Draw(t, "notRun"),
			}
		}), 0, 40).Draw(t, "events")
		shuffled := rapid.Permutation(events).Draw(t, "order")
		a, b := Check(events, Options{}), Check(shuffled, Options{})
		if distinctSequences(events) && fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("violations depend on event order: %v and %v", a, b)
		}
	})
}

func distinctSequences(events []event) bool {
	seen := make(map[string]bool)
	for _, e := range events {
		id := fmt.Sprint(e.Instance, "#", e.Sequence)
		if seen[id] {
			return false
		}
		seen[id] = true
	}
	return true
}

func BenchmarkCheck(b *testing.B) {
	var events []event
	for i := range 10_000 {
		events = append(events, answeredRequest(i*10, fmt.Sprint("r", i))...)
	}
	setSequences(events)
	for b.Loop() {
		if found := Check(events, Options{Complete: true}); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
}
