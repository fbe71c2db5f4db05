package order

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRecentExpiresCounts(t *testing.T) {
	is := is.New(t)
	r := NewRecent()
	start := time.Unix(1_000_000, 0)
	r.Ended(start, "m", "status", true)
	r.Ended(start.Add(30*time.Second), "m", "status", false)
	is.Equal(r.Loads(start.Add(40*time.Second)), []ClassLoad{{Model: "m", Class: "status", Met: 1, Missed: 1}})
	is.Equal(r.Loads(start.Add(70*time.Second)), []ClassLoad{{Model: "m", Class: "status", Missed: 1}})
	is.Equal(len(r.Loads(start.Add(5*time.Minute))), 0)
	is.Equal(len(r.windows), 0)
}
