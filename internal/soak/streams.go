package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Piece is one event of a stream as its caller received it.
type Piece struct {
	Number int // 1 for the first one of a stream
	// Run is the name of the run that generated the piece.
	Run string
}

// Stream is a streamed response as its caller received it.
type Stream struct {
	Pieces []Piece
	// Length is the number of pieces of the whole stream.
	Length int
	// Complete is true if its end does not differ from the end of a whole stream.
	Complete bool
	// Resumable is true if another run may continue it.
	Resumable bool
	// EndsWithConnection is true if only the end of the connection ends it, so that its
	// caller cannot tell the end of a killed instance.
	EndsWithConnection bool
}

// streamRun is a run of a request that a backend server answers with a stream.
type streamRun struct {
	request string
	after   int // number of the piece after which it starts; 0 for the first run
}

// soundRun is a run whose whole answer the backend server has written.
type soundRun struct {
	server   int
	unframed bool // the answer had neither a length nor chunks
	from, to time.Time
}

// serverEnd is a period in which a backend server, or the link to it, could end an answer.
type serverEnd struct {
	server   int
	from, to time.Time
}

// runs are what backend servers did to the runs of requests. The checker's mutex
// protects it.
type runs struct {
	streams map[string]streamRun // by run
	spoiled map[string][]string  // by request: what servers did wrong
	sound   map[string][]soundRun
	ends    []serverEnd // of incarnations
	links   []serverEnd // faults of the links
	stale   []interval  // instances that may not know the present servers
}

func newRuns() runs {
	return runs{streams: map[string]streamRun{}, spoiled: map[string][]string{}, sound: map[string][]soundRun{}}
}

// RecordStreamRun records that a run streams the pieces of a request that follow piece
// number after.
func (c *Checker) RecordStreamRun(request, run string, after int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran.streams[run] = streamRun{request, after}
}

// RecordSpoiled records that a backend server did not answer a request as it should, and how.
func (c *Checker) RecordSpoiled(request, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran.spoiled[request] = append(c.ran.spoiled[request], how)
}

// RecordSound records that a backend server has written the whole answer of a run that
// began at from. An unframed answer has neither a length nor chunks.
func (c *Checker) RecordSound(request string, server int, unframed bool, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran.sound[request] = append(c.ran.sound[request], soundRun{server, unframed, from, time.Now()})
}

// RecordServerEnd records that the incarnation of a backend server ends now.
func (c *Checker) RecordServerEnd(server int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.ran.ends = append(c.ran.ends, serverEnd{server, now, now})
}

// RecordLinkFault records a fault of the link to a backend server.
func (c *Checker) RecordLinkFault(server int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran.links = append(c.ran.links, serverEnd{server, from, to})
}

// RecordStale records a period in which an instance may not know the present servers. An
// empty instance means all instances.
func (c *Checker) RecordStale(instance string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran.stale = append(c.ran.stale, interval{instance, from, to})
}

// checkStream compares a stream by piece, up to bytes that are no piece. It also holds for
// streams that are broken off.
func (c *Checker) checkStream(o Outcome) {
	if o.Stream == nil {
		return
	}
	last := Piece{Number: o.After}
	for _, p := range o.Stream.Pieces {
		if wrong := c.wrongPiece(o, last, p); wrong != "" {
			c.addViolation("stream %s: %s%s", o.ID, wrong, c.spoiledNote(o.ID))
			return
		}
		last = p
	}
	if o.Mismatch != "" || !o.Stream.Complete || last.Number >= o.Stream.Length || o.Stream.EndsWithConnection && c.instanceFailed(o) {
		return
	}
	how := "ended as complete"
	if o.Stream.EndsWithConnection {
		how = "ended with its connection, as a whole one does,"
	}
	c.addViolation("stream %s: %s after piece %d of %d%s", o.ID, how, last.Number, o.Stream.Length, c.spoiledNote(o.ID))
}

// wrongPiece returns what is wrong with the piece p that follows last, or "".
func (c *Checker) wrongPiece(o Outcome, last, p Piece) string {
	run, ok := c.ran.streams[p.Run]
	switch {
	case !ok || run.request != o.ID:
		return fmt.Sprintf("piece %d is of run %q, which is not of this request", p.Number, p.Run)
	case p.Number <= last.Number:
		return fmt.Sprintf("piece %d comes after piece %d, so again", p.Number, last.Number)
	case p.Number > last.Number+1:
		return fmt.Sprintf("pieces are missing between %d and %d", last.Number, p.Number)
	case p.Number > o.Stream.Length:
		return fmt.Sprintf("piece %d comes after the last one", p.Number)
	case p.Run != last.Run && run.after != last.Number:
		return fmt.Sprintf("piece %d is of a run that starts after piece %d", p.Number, run.after)
	case p.Run != last.Run && last.Run != "" && !o.Stream.Resumable:
		return fmt.Sprintf("piece %d is of a second run, and the stream may not be resumed", p.Number)
	}
	return ""
}

// spoiledNote describes what backend servers did wrong to the runs of a request.
func (c *Checker) spoiledNote(request string) string {
	if len(c.ran.spoiled[request]) == 0 {
		return ""
	}
	return fmt.Sprintf(" (its servers: %s)", strings.Join(c.ran.spoiled[request], ", "))
}

// instanceFailed reports whether the instance was killed or paused during the request.
func (c *Checker) instanceFailed(o Outcome) bool {
	return slices.ContainsFunc(c.faults, func(i interval) bool { return i.instance != "" && i.overlaps(o) })
}

// checkSound counts a whole answer without framing, and finds a whole answer that was
// lost although its server and all links were sound until the caller saw its end.
func (c *Checker) checkSound(o Outcome, s *Summary) {
	for _, run := range c.ran.sound[o.ID] {
		lost := o.Status/100 != 2
		ended := c.serverEnded(run, o.Ended)
		if run.unframed {
			s.Unframed.add(ended, lost)
		}
		if !lost || ended || c.mayLose(o, run) {
			continue
		}
		c.addViolation("request %s was lost (status %d), though its server answered it whole and lived%s", o.ID, o.Status, c.spoiledNote(o.ID))
		return
	}
}

// serverEnded reports whether the incarnation that answered a run ended before until.
func (c *Checker) serverEnded(run soundRun, until time.Time) bool {
	return slices.ContainsFunc(c.ran.ends, func(e serverEnd) bool {
		return e.server == run.server && e.from.After(run.from) && e.from.Before(until)
	})
}

// doubtfulRuns counts the runs that were answered whole by servers that ended before the
// caller saw the end, or of whose start the instance may not have known.
func (c *Checker) doubtfulRuns(o Outcome) int {
	count := 0
	for _, run := range c.ran.sound[o.ID] {
		if c.serverEnded(run, o.Ended) || c.unknownStart(o, run) {
			count++
		}
	}
	return count
}

// mayLose reports whether something other than the router may have lost the answer.
func (c *Checker) mayLose(o Outcome, run soundRun) bool {
	if o.TimedOut || o.Status == gatewayTimeout || c.instanceFailed(o) {
		return true
	}
	if c.unknownStart(o, run) || c.unrecorded(o) {
		return true
	}
	return slices.ContainsFunc(c.ran.links, func(e serverEnd) bool {
		return e.server == run.server && e.from.Before(o.Ended) && e.to.After(run.from)
	})
}

// unknownStart reports whether the server of a run started so late that the instance may not
// have known that it had.
func (c *Checker) unknownStart(o Outcome, run soundRun) bool {
	return slices.ContainsFunc(c.ran.ends, func(e serverEnd) bool {
		return e.server == run.server && e.from.Before(run.from) && run.from.Before(c.knownBy(o.Instance, e.from))
	})
}

// tableDelay is the time in which an instance that reaches the store reads a change.
const tableDelay = 500 * time.Millisecond

// knownBy returns the time by which an instance must know a server that started at start:
// after the faults of the store that kept the instance from reading its row.
func (c *Checker) knownBy(instance string, start time.Time) time.Time {
	by := start.Add(tableDelay)
	for extended := true; extended; {
		extended = false
		for _, i := range c.ran.stale {
			if (i.instance == "" || i.instance == instance) && i.from.Before(by) && i.to.After(by) {
				by, extended = i.to, true
			}
		}
	}
	return by
}

const gatewayTimeout = 504 // HTTP status

// SoundCount counts whole answers without framing.
type SoundCount struct {
	// Answers are those of servers that lived until the caller saw the end.
	Answers, Lost int
	// Stopped are those of servers whose incarnation ended before.
	Stopped, StoppedLost int
}

func (n *SoundCount) add(ended, lost bool) {
	count, losses := &n.Answers, &n.Lost
	if ended {
		count, losses = &n.Stopped, &n.StoppedLost
	}
	*count++
	if lost {
		*losses++
	}
}
