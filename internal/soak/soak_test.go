package soak

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const bound = 5 * time.Second

// finish checks outcomes beside enough good ones, so that only theirs can be wrong.
func finish(c *Checker) []string {
	for range 100 {
		c.Answered(Outcome{ID: "good", Idempotent: true, Sent: time.Now(), Status: 200})
	}
	_, broken := c.Finish(time.Now().Add(-time.Minute))
	return broken
}

func TestCheckerFindsEachBrokenPromise(t *testing.T) {
	now := time.Now()
	for name, breakIt := range map[string]func(*Checker){
		"ran 2 times": func(c *Checker) {
			c.Ran("x")
			c.Ran("x")
			c.Answered(Outcome{ID: "x", Sent: now, Status: 200})
		},
		"as not run, and ran": func(c *Checker) {
			c.Ran("x")
			c.Answered(Outcome{ID: "x", Sent: now, Status: 503, NotRun: true})
		},
		"wrong answer": func(c *Checker) {
			c.Answered(Outcome{ID: "x", Sent: now, Status: 200, Fault: "half"})
		},
		"after its key was withdrawn": func(c *Checker) {
			c.Withdrawn("k")
			c.Ran("x")
			c.Answered(Outcome{ID: "x", Key: "k", Sent: now.Add(bound + time.Second), Status: 200})
		},
		"was reported as": func(c *Checker) {
			c.Reported("a", 1, 7, "1")
			c.Reported("a", 1, 7, "2")
		},
		"acted under token 1": func(c *Checker) {
			c.Ordered("a", 1)
			c.Ordered("b", 1)
		},
		"after token 2": func(c *Checker) {
			c.Ordered("a", 2)
			c.Ordered("a", 1)
		},
		"cut off by the planned stop of a": func(c *Checker) {
			c.Ran("x")
			c.Stopped("a", now, now.Add(time.Second))
			c.Troubled("b", now, now.Add(time.Second))
			c.Answered(Outcome{ID: "x", Instance: "a", Sent: now, Ended: now.Add(time.Second)})
		},
		"after the troubles": func(c *Checker) {
			for range 100 {
				c.Answered(Outcome{ID: "x", Idempotent: true, Sent: now, Status: 502})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewChecker(bound)
			breakIt(c)
			broken := finish(c)
			is.Equal(len(broken), 1)
			is.True(strings.Contains(broken[0], name))
		})
	}
}

func TestCheckerAllowsWhatIsPromised(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := NewChecker(bound)
	c.Ran("repeatable")
	c.Ran("repeatable")
	c.Answered(Outcome{ID: "repeatable", Idempotent: true, Sent: time.Now(), Status: 200})
	c.Answered(Outcome{ID: "refused", Sent: time.Now(), Status: 503, NotRun: true})
	c.Ran("lost")
	c.Answered(Outcome{ID: "lost", Sent: time.Now()})
	c.Reported("a", 1, 7, "1")
	c.Reported("b", 2, 7, "1")
	c.Stopped("a", now, now.Add(time.Second))
	c.Answered(Outcome{ID: "never run", Instance: "a", Sent: now, Ended: now.Add(time.Second)}) // it was not read
	c.Ran("left")
	c.Answered(Outcome{ID: "left", Instance: "a", Sent: now, Ended: now.Add(time.Second), GaveUp: true})
	c.Ran("killed")
	c.Troubled("a", now.Add(500*time.Millisecond), now.Add(time.Second))
	c.Answered(Outcome{ID: "killed", Instance: "a", Sent: now, Ended: now.Add(time.Second)})
	is.Equal(finish(c), nil)
}

func TestPlansRepeatBySeed(t *testing.T) {
	is := is.New(t)
	is.Equal(NewPlan(3, time.Minute, 3, 4), NewPlan(3, time.Minute, 3, 4))
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		for _, trouble := range NewPlan(seed, time.Minute, 3, 4) {
			seen[trouble.Kind] = true
			is.True(trouble.At >= quietStart && trouble.At < time.Minute-quietEnd)
		}
	}
	is.Equal(len(seen), len(kinds))
}

func TestProxyHarmsConnections(t *testing.T) {
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
	says := func(c net.Conn) (string, error) {
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
	line, err := says(open)
	is.NoErr(err)
	is.Equal(line, "hello\n")
	p.Silence(true)
	_, err = says(open)
	is.True(err != nil) // open, and nothing comes
	p.Silence(false)
	_, err = says(open)
	is.True(err != nil) // bytes are missing: it is reset
	_, err = says(dial())
	is.NoErr(err)
	p.CutAnswers(true)
	_, err = says(dial())
	is.True(err != nil)
}

func TestBreakOfABackendServerIsNotThePlannedStops(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		brokenOff int
		cut       bool
	}{
		"every run was broken off by its server": {brokenOff: 2},
		"the second one was not":                 {brokenOff: 1, cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			checker := NewChecker(bound)
			checker.Stopped("a", now, now.Add(time.Second))
			for range 2 {
				checker.Ran("x")
			}
			for range c.brokenOff {
				checker.BrokeOff("x")
			}
			checker.Answered(Outcome{ID: "x", Idempotent: true, Instance: "a", Sent: now, Ended: now.Add(time.Millisecond)})
			is.Equal(len(finish(checker)) > 0, c.cut)
		})
	}
}
