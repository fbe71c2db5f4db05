package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const revocation = 5 * time.Second

// finish adds enough answered requests to meet minEndAnswered, and returns the violations.
func finish(c *Checker) []string {
	for range 100 {
		c.RecordOutcome(Outcome{ID: "good", Idempotent: true, Sent: time.Now(), Status: 200})
	}
	_, violations := c.Finish(time.Now().Add(-time.Minute))
	return violations
}

func TestCheckerReportsViolations(t *testing.T) {
	now := time.Now()
	for name, violate := range map[string]func(*Checker){
		"ran 2 times": func(c *Checker) {
			c.RecordRun("x")
			c.RecordRun("x")
			c.RecordOutcome(Outcome{ID: "x", Sent: now, Status: 200})
		},
		"as not run, and ran": func(c *Checker) {
			c.RecordRun("x")
			c.RecordOutcome(Outcome{ID: "x", Sent: now, Status: 503, NotRun: true})
		},
		"wrong answer": func(c *Checker) {
			c.RecordOutcome(Outcome{ID: "x", Sent: now, Status: 200, Mismatch: "half"})
		},
		"after its key was withdrawn": func(c *Checker) {
			c.RecordKeyWithdrawn("k")
			c.RecordRun("x")
			c.RecordOutcome(Outcome{ID: "x", Key: "k", Sent: now.Add(revocation + time.Second), Status: 200})
		},
		"was reported as": func(c *Checker) {
			c.RecordUsageReport("a", 1, 7, "1")
			c.RecordUsageReport("a", 1, 7, "2")
		},
		"acted under token 1": func(c *Checker) {
			c.RecordOrder("a", 1)
			c.RecordOrder("b", 1)
		},
		"after token 2": func(c *Checker) {
			c.RecordOrder("a", 2)
			c.RecordOrder("a", 1)
		},
		"cut off by the planned stop of a": func(c *Checker) {
			c.RecordRun("x")
			c.RecordStop("a", now, now.Add(time.Second))
			c.RecordFault("b", now, now.Add(time.Second))
			c.RecordOutcome(Outcome{ID: "x", Instance: "a", Sent: now, Ended: now.Add(time.Second)})
		},
		"had told a that it leaves": func(c *Checker) {
			c.RecordLeaving("a", "s")
			c.statements.instances["x"], c.statements.sent["x"] = "a", now.Add(drainTimeout+time.Second)
			c.RecordArrival("x", "s", 0)
		},
		"after the store acknowledged that it is draining": func(c *Checker) {
			c.RecordDraining("s")
			c.RecordStale("", now.Add(drainTimeout+time.Second), now.Add(time.Hour))
			c.statements.instances["x"], c.statements.sent["x"] = "a", now.Add(drainTimeout+time.Second)
			c.RecordArrival("x", "s", 0)
		},
		"a had refused its withdrawn key": func(c *Checker) {
			c.RecordKeyWithdrawn("k")
			c.RecordOutcome(Outcome{ID: "r", Instance: "a", Key: "k", Sent: now, Ended: now, Status: 401})
			c.RecordRun("x")
			c.RecordOutcome(Outcome{ID: "x", Instance: "a", Key: "k", Sent: now.Add(regressSlack + time.Second), Status: 200})
		},
		"had named a limit of 1.000 a second": func(c *Checker) {
			c.RecordSent("x", "a")
			c.RecordLimit("a", "s", 1)
			c.RecordArrival("x", "s", 1)
			for range 12 {
				c.statements.arrivals = append(c.statements.arrivals, arrival{"x", "s", 1, now.Add(limitDelay + time.Second)})
			}
		},
		"in a pause of": func(c *Checker) {
			c.RecordSent("x", "a")
			c.RecordPause("x", "s", 3*time.Second)
			for range maxPauseArrivals + 1 {
				c.statements.arrivals = append(c.statements.arrivals, arrival{"x", "s", 0, now.Add(pauseSlack + time.Second)})
			}
		},
		"after the troubles": func(c *Checker) {
			for range 100 {
				c.RecordOutcome(Outcome{ID: "x", Idempotent: true, Sent: now, Status: 502})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewChecker(revocation)
			violate(c)
			violations := finish(c)
			is.Equal(len(violations), 1)
			is.True(strings.Contains(violations[0], name))
		})
	}
}

// TestCheckerIgnoresPauseOfUnknownIncarnation checks that an instance may forget the pause of
// a server only if it could not know that this incarnation had started.
func TestCheckerIgnoresPauseOfUnknownIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		instance  string        // that may not know the present servers
		stale     time.Duration // after the start of the incarnation
		violation bool
	}{
		"started while the store was silent":                     {"a", -time.Second, false},
		"started while the store was down":                       {"", -time.Second, false},
		"started before the store was silent":                    {"a", time.Millisecond, true},
		"started while the store was silent to another instance": {"b", -time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			checker := NewChecker(revocation)
			checker.RecordStart("s")
			started := checker.statements.started["s"]
			checker.RecordStale(c.instance, started.Add(c.stale), started.Add(time.Minute))
			checker.RecordSent("x", "a")
			checker.RecordPause("x", "s", 3*time.Second)
			for range maxPauseArrivals + 1 {
				checker.statements.arrivals = append(checker.statements.arrivals, arrival{"x", "s", 0, started.Add(pauseSlack + time.Second)})
			}
			is.Equal(len(finish(checker)) > 0, c.violation)
		})
	}
}

func TestCheckerAcceptsAllowedOutcomes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := NewChecker(revocation)
	c.RecordRun("repeatable")
	c.RecordRun("repeatable")
	c.RecordOutcome(Outcome{ID: "repeatable", Idempotent: true, Sent: time.Now(), Status: 200})
	c.RecordOutcome(Outcome{ID: "refused", Sent: time.Now(), Status: 503, NotRun: true})
	c.RecordRun("lost")
	c.RecordOutcome(Outcome{ID: "lost", Sent: time.Now()})
	c.RecordUsageReport("a", 1, 7, "1")
	c.RecordUsageReport("b", 2, 7, "1")
	c.RecordStop("a", now, now.Add(time.Second))
	c.RecordOutcome(Outcome{ID: "never run", Instance: "a", Sent: now, Ended: now.Add(time.Second)}) // no backend server ran it
	c.RecordRun("left")
	c.RecordOutcome(Outcome{ID: "left", Instance: "a", Sent: now, Ended: now.Add(time.Second), TimedOut: true})
	c.RecordRun("killed")
	c.RecordFault("a", now.Add(500*time.Millisecond), now.Add(time.Second))
	c.RecordOutcome(Outcome{ID: "killed", Instance: "a", Sent: now, Ended: now.Add(time.Second)})
	is.Equal(finish(c), nil)
}

func TestNewPlanIsDeterministic(t *testing.T) {
	is := is.New(t)
	is.Equal(NewPlan(3, time.Minute, 3, 4), NewPlan(3, time.Minute, 3, 4))
	seen := map[FaultKind]bool{}
	for seed := range uint64(20) {
		for _, fault := range NewPlan(seed, time.Minute, 3, 4) {
			seen[fault.Kind] = true
			is.True(fault.At >= quietStart && fault.At < time.Minute-quietEnd)
			is.True(fault.Kind != StoreRestored || fault.At+fault.Duration <= time.Minute-quietRestores)
		}
	}
	is.Equal(len(seen), len(faultKinds)+len(statementKinds)+len(heldKinds)+len(endKinds)+1)
}

func TestProxyInjectsFaults(t *testing.T) {
	is := is.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := NewProxy(echo.Addr().String())
	is.NoErr(err)
	defer p.Close()
	echoLine := func(c net.Conn) (string, error) {
		_, _ = io.WriteString(c, "hello\n")
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		return bufio.NewReader(c).ReadString('\n')
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	open := dial()
	line, err := echoLine(open)
	is.NoErr(err)
	is.Equal(line, "hello\n")
	p.SetBlackhole(true)
	_, err = echoLine(open)
	is.True(err != nil) // the connection stays open, but nothing arrives
	p.SetBlackhole(false)
	_, err = echoLine(open)
	is.True(err != nil) // the connection was reset, since bytes are missing
	_, err = echoLine(dial())
	is.NoErr(err)
	p.SetDropResponses(true)
	_, err = echoLine(dial())
	is.True(err != nil)
}

// TestProxyHoldsBytes checks that held bytes are delivered after their sender has closed
// its connection, and dropped when it has reset it.
func TestProxyHoldsBytes(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer target.Close()
			p, err := NewProxy(target.Addr().String())
			is.NoErr(err)
			defer p.Close()
			sender, err := net.Dial("tcp", p.Address())
			is.NoErr(err)
			receiver, err := target.Accept()
			is.NoErr(err)
			defer receiver.Close()
			p.SetHold(true)
			_, err = io.WriteString(sender, "late")
			is.NoErr(err)
			_ = receiver.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err = receiver.Read(make([]byte, 16))
			is.True(errors.Is(err, os.ErrDeadlineExceeded)) // held back
			is.NoErr(sender.(*net.TCPConn).SetLinger(linger))
			is.NoErr(sender.Close())
			time.Sleep(50 * time.Millisecond) // the proxy sees how the sender closed
			p.SetHold(false)
			_ = receiver.SetReadDeadline(time.Now().Add(5 * time.Second))
			got, err := io.ReadAll(receiver)
			if linger == 0 {
				is.True(errors.Is(err, syscall.ECONNRESET))
				is.Equal(string(got), "")
				return
			}
			is.NoErr(err)
			is.Equal(string(got), "late")
		})
	}
}

func TestCheckerIgnoresServerAbortsDuringStop(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		aborts    int
		violation bool
	}{
		"every run aborted by its server": {aborts: 2},
		"second run not aborted":          {aborts: 1, violation: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			checker := NewChecker(revocation)
			checker.RecordStop("a", now, now.Add(time.Second))
			for range 2 {
				checker.RecordRun("x")
			}
			for range c.aborts {
				checker.RecordServerAbort("x")
			}
			checker.RecordOutcome(Outcome{ID: "x", Idempotent: true, Instance: "a", Sent: now, Ended: now.Add(time.Millisecond)})
			is.Equal(len(finish(checker)) > 0, c.violation)
		})
	}
}
