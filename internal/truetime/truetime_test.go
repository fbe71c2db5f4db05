package truetime

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

func TestJumpOfTheTimeOfDayDoesNotMatter(t *testing.T) {
	is := is.New(t)
	boot := boottime.Instant(time.Hour)
	wall := time.Unix(1_700_000_000, 0)
	c := New(Options{
		Boot: func() boottime.Instant { return boot },
		Wall: func() time.Time { return wall },
	})
	is.Equal(c.Now(), wall) // nothing better is known yet
	c.Heard(5*time.Second, boot)
	own, ok := c.Own()
	is.True(ok)
	c.Agree([]time.Duration{own, own + time.Millisecond, own - time.Millisecond})
	is.True(c.Now().Equal(wall))

	wall = wall.Add(time.Minute) // this machine's time of day jumps
	jumped, _ := c.Own()
	is.Equal(jumped-own, time.Minute)
	c.Agree([]time.Duration{jumped, own, own})
	is.True(c.Now().Equal(time.Unix(1_700_000_000, 0)))

	boot = boot.Add(10 * time.Second)
	is.True(c.Now().Equal(time.Unix(1_700_000_010, 0)))
}

func TestSlowAnswersDoNotMoveTheClock(t *testing.T) {
	is := is.New(t)
	boot := boottime.Instant(time.Hour)
	c := New(Options{Boot: func() boottime.Instant { return boot }, Wall: func() time.Time { return time.Unix(0, 0) }})
	c.Heard(time.Second, boot)
	own, _ := c.Own()
	boot = boot.Add(time.Second)
	c.Heard(1500*time.Millisecond, boot) // half a second on its way
	boot = boot.Add(-time.Second)
	again, _ := c.Own()
	is.Equal(own, again)
}

// TestAnswerReadAfterASuspensionWasMadeBeforeIt: an answer arrives while the machine
// is suspended, long after the last exact one.
func TestAnswerReadAfterASuspensionWasMadeBeforeIt(t *testing.T) {
	is := is.New(t)
	c := New(Options{Boot: boottime.Now, Wall: time.Now})
	start := boottime.Instant(time.Hour)
	is.True(c.Heard(0, start).IsZero()) // nothing is known yet
	made := start.Add(sampleLifetime)
	read := made.Add(6 * time.Second)
	is.Equal(c.Heard(sampleLifetime, read), made)
}
