package gateway

import "time"

// finding is what a check of a backend server found: who answers at its address.
type finding int

const (
	// notAsked: there was no check.
	notAsked finding = iota
	// sameProcess: the process that was known when the request was assigned.
	sameProcess
	// sameServer: the same server, which does not state when it started, or started before
	// the request was sent but after what is known of it.
	sameServer
	// listens: a server accepts connections that cannot be asked who it is.
	listens
	// restarted: the same server, but another process.
	restarted
	// otherServer: another server owns the address.
	otherServer
	// gone: nothing listens at the address.
	gone
	// silentServer: there was no answer in time.
	silentServer
	// resets: connections were accepted and closed without an answer, as by a server at its limit
	// of connections.
	resets
	// unidentified: an answer that names neither a server nor a process.
	unidentified
)

var findingNames = [...]string{
	notAsked: "not_asked", sameProcess: "same_process", sameServer: "same_server", listens: "listens", restarted: "restarted",
	otherServer: "other_server", gone: "gone", silentServer: "silent", resets: "resets", unidentified: "unidentified",
}

// String returns the name, as used in metrics and the timeline.
func (f finding) String() string { return findingNames[f] }

// startMargin allows for the difference between the clocks of an instance and a backend
// server.
const startMargin = 500 * time.Millisecond

// compareIdentity returns what a server's statement shows if the request was assigned to
// the server known and sent at sentAt. What is known may be older than the process that
// answered: one that started before the request was sent is the one that it was sent to.
func compareIdentity(known, stated Identity, sentAt time.Time) finding {
	switch {
	case stated.Server != "" && stated.Server != known.Server:
		return otherServer
	case stated.Incarnation != known.Incarnation && !stated.StartedAt.IsZero() && stated.StartedAt.Add(startMargin).Before(sentAt):
		return sameServer
	case stated.Incarnation != 0 && known.Incarnation != 0 && stated.Incarnation != known.Incarnation:
		return restarted
	case stated.Incarnation != 0 && known.Incarnation != 0:
		return sameProcess
	case stated.Server != "":
		return sameServer
	}
	return unidentified
}

// serverCheck is a check of the server after an answer that ended with its connection. The
// zero value is no check.
type serverCheck struct {
	found   finding
	askedAt time.Time // before the question was sent
}

// evidence is what is known of the end of an answer.
type evidence struct {
	framing framing
	endedAt time.Time
	// stopsAt is when the server stops work on the request.
	stopsAt time.Time
	check   serverCheck
	// unread is how long the end of the answer may have waited until endedAt.
	unread time.Duration
	// stream is true for a stream of events.
	stream bool
}

// verdict is whether the end of an answer shows that the answer is complete.
type verdict int

const (
	// confirmed: the answer is complete.
	confirmed verdict = iota
	// overdue: the server had no time left, so that it may have stopped.
	overdue
	// crashed: the server's process has ended, perhaps before the answer was complete.
	crashed
	// unconfirmed: nothing shows that the server's process still runs.
	unconfirmed
)

var verdictNames = [...]string{confirmed: "confirmed", overdue: "overdue", crashed: "crashed", unconfirmed: "unconfirmed"}

// String returns the name, as used in the timeline.
func (v verdict) String() string { return verdictNames[v] }

// inDoubt reports whether the end alone does not show that the answer is complete: that of a
// connection, and that of a stream at its server's deadline, which a handler that returns
// there gives a last chunk.
func (e evidence) inDoubt() bool {
	return e.framing == framedByConnection || e.stream && !e.endedAt.Before(e.stopsAt)
}

// conclude decides whether an answer that ended is complete. An answer that ends with its
// connection is, if the process that sent it answers a question asked after that end: when
// a process ends, all its connections end with it. A server that does not state its start
// may be another process by now if the end was seen late.
func conclude(e evidence) verdict {
	switch {
	case !e.inDoubt():
		return confirmed
	case !e.endedAt.Before(e.stopsAt):
		return overdue
	case e.check.askedAt.Before(e.endedAt):
		return unconfirmed
	}
	switch e.check.found {
	case sameProcess:
		return confirmed
	case sameServer, listens:
		if e.unread <= serverCheckTimeout {
			return confirmed
		}
	case restarted, otherServer, gone:
		return crashed
	case notAsked, silentServer, resets, unidentified:
	}
	return unconfirmed
}
