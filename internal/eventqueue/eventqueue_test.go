package eventqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	_, ok := q.Next()
	is.True(!ok)
	var ran []string
	add := func(at time.Duration, name string) { q.Add(at, func() { ran = append(ran, name) }) }
	add(2, "late")
	add(1, "first")
	add(1, "second")
	add(1, "third")
	for last := time.Duration(0); ; {
		next, ok := q.Next()
		if !ok {
			break
		}
		at, run := q.Pop()
		is.Equal(at, next)
		is.True(at >= last)
		last = at
		run()
	}
	is.Equal(ran, []string{"first", "second", "third", "late"})
}
