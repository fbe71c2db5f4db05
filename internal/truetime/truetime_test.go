package truetime

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

func TestWallClockJumpIgnored(t *testing.T) {
	is := is.New(t)
	boot := boottime.Instant(time.Hour)
	wall := time.Unix(1_700_000_000, 0)
	c := New(Options{
		Boot: func() boottime.Instant { return boot },
		Wall: func() time.Time { return wall },
	})
	is.Equal(c.Now(), wall) // no sample and no offsets yet
	c.Observe(5*time.Second, boot)
	offset, ok := c.Offset()
	is.True(ok)
	c.SetOffsets([]time.Duration{offset, offset + time.Millisecond, offset - time.Millisecond})
	is.True(c.Now().Equal(wall))

	wall = wall.Add(time.Minute) // this machine's wall clock jumps
	jumped, _ := c.Offset()
	is.Equal(jumped-offset, time.Minute)
	c.SetOffsets([]time.Duration{jumped, offset, offset})
	is.True(c.Now().Equal(time.Unix(1_700_000_000, 0)))

	boot = boot.Add(10 * time.Second)
	is.True(c.Now().Equal(time.Unix(1_700_000_010, 0)))
}

func TestSlowAnswerIgnored(t *testing.T) {
	is := is.New(t)
	boot := boottime.Instant(time.Hour)
	c := New(Options{Boot: func() boottime.Instant { return boot }, Wall: func() time.Time { return time.Unix(0, 0) }})
	c.Observe(time.Second, boot)
	offset, _ := c.Offset()
	boot = boot.Add(time.Second)
	c.Observe(1500*time.Millisecond, boot) // 500 ms of delay
	boot = boot.Add(-time.Second)
	again, _ := c.Offset()
	is.Equal(offset, again)
}

// TestAnswerReadAfterSuspension guards against dating an answer too late. The answer
// arrives while the machine is suspended and is read 6 s after it was sent, when the
// best sample is old enough to be replaced.
func TestAnswerReadAfterSuspension(t *testing.T) {
	is := is.New(t)
	c := New(Options{Boot: boottime.Now, Wall: time.Now})
	start := boottime.Instant(time.Hour)
	is.True(c.Observe(0, start).IsZero()) // delay of the first sample is unknown
	sent := start.Add(maxSampleAge)
	read := sent.Add(6 * time.Second)
	is.Equal(c.Observe(maxSampleAge, read), sent)
}
