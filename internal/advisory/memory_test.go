package advisory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMemory(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var m Memory[string, time.Time]
	s := m.Take("a")
	m.Keep(now, "a", s)
	s.Observe(Heard[time.Time]{Advisory: Advisory{Leaving: true}, To: now}) // an answer that arrives late
	m.Keep(now.Add(retention), "b", &State[time.Time]{})
	is.True(m.Take("a").Leaving())
	is.True(!m.Take("a").Leaving()) // was taken
	m.Keep(now, "a", s)
	m.Keep(now.Add(retention+1), "b", &State[time.Time]{})
	is.True(!m.Take("a").Leaving()) // has expired
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var m Memory[int, time.Time]
	for n := range maxKept + 10 {
		m.Keep(now.Add(time.Duration(n)), n, &State[time.Time]{leaving: true})
	}
	is.Equal(len(m.kept), maxKept)
	is.True(!m.Take(9).Leaving())
	is.True(m.Take(10).Leaving())
}
