package presence

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

func row(t *testing.T, name string, r Row) tablefeed.Row {
	t.Helper()
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return tablefeed.Row{Key: name, Value: data}
}

func TestRowsExpire(t *testing.T) {
	is := is.New(t)
	b := NewRegistry()
	start := boottime.Instant(time.Hour)
	is.NoErr(b.Apply(start, tablefeed.Update{Full: true, Rows: []tablefeed.Row{
		row(t, "a", Row{Demand: map[string]Demand{"s": {InFlight: 2}}}),
		row(t, "b", Row{Demand: map[string]Demand{"s": {InFlight: 3}}}),
	}}))
	is.Equal(SortedNames(b.Live(start.Add(time.Second))), []string{"a", "b"})
	is.Equal(TotalDemand(b.Live(start), "s").InFlight, 5)
	is.NoErr(b.Apply(start.Add(5*time.Second), tablefeed.Update{Rows: []tablefeed.Row{row(t, "a", Row{Sequence: 1})}}))
	is.Equal(SortedNames(b.Live(start.Add(RowTTL+time.Second))), []string{"a"})
	is.Equal(b.Stale(start.Add(time.Minute), time.Minute), []string{"b"})
}

func TestInvalidRowDoesNotAffectOthers(t *testing.T) {
	is := is.New(t)
	b := NewRegistry()
	err := b.Apply(1, tablefeed.Update{Rows: []tablefeed.Row{{Key: "invalid", Value: []byte("{")}, row(t, "a", Row{})}})
	is.True(err != nil)
	is.Equal(SortedNames(b.Live(1)), []string{"a"})
}

// TestOddRowOfAnotherWriterIsNoInstance guards against demand that no instance can have,
// which would order servers, and against the loss of the other rows.
func TestOddRowOfAnotherWriterIsNoInstance(t *testing.T) {
	for name, value := range map[string]string{
		"negative demand": `{"zone":"z","demand":{"s":{"in_flight":-5}},"sequence":1}`,
		"huge demand":     `{"zone":"z","demand":{"s":{"in_flight":1,"waiting":1000000000000}},"sequence":1}`,
		"huge rate":       `{"zone":"z","demand":{"s":{"in_flight":1,"prompt_rate":1e300}},"sequence":1}`,
		"negative cores":  `{"zone":"z","cores":-1,"sequence":1}`,
		"huge cores":      `{"zone":"z","cores":1e300,"sequence":1}`,
		"too large":       `{"zone":"z","cores":1e400,"sequence":1}`,
		"deeply nested":   `{"zone":"z","more":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewRegistry()
			err := b.Apply(1, tablefeed.Update{Rows: []tablefeed.Row{
				{Key: "odd", Value: []byte(value)}, {Key: "true", Value: []byte(`{"zone":"z","sequence":1}`)},
			}})
			is.True(err != nil)
			is.Equal(SortedNames(b.Live(1)), []string{"true"})
		})
	}
}

// TestRowsKeptAfterRestore guards against instances that are taken as gone, since the copy that the
// store was restored from lacks their rows, and against an older row in it.
func TestRowsKeptAfterRestore(t *testing.T) {
	is := is.New(t)
	b := NewRegistry()
	start := boottime.Instant(time.Hour)
	is.NoErr(b.Apply(start, tablefeed.Update{Full: true, Rows: []tablefeed.Row{
		row(t, "lost", Row{}), row(t, "older", Row{Draining: true}),
	}}))
	older := row(t, "older", Row{})
	older.Version = 1 << 40
	copied := tablefeed.Update{Full: true, Restored: true, Rows: []tablefeed.Row{older}}
	is.NoErr(b.Apply(start, copied))
	copied.Restored = false
	is.NoErr(b.Apply(start, copied)) // read again
	live := b.Live(start)
	is.Equal(SortedNames(live), []string{"lost", "older"})
	is.True(live["older"].Draining)
	older.Version++ // written again
	is.NoErr(b.Apply(start.Add(time.Second), tablefeed.Update{Rows: []tablefeed.Row{older}}))
	is.True(!b.Live(start)["older"].Draining)
	is.Equal(SortedNames(b.Live(start.Add(RowTTL))), []string{"older"})
}

// TestMayServe lists when an instance that has just started may act on what it has read.
func TestMayServe(t *testing.T) {
	epoch := func(n uint64) *uint64 { return &n }
	for name, c := range map[string]struct {
		rows        []Row
		now, waited bool
	}{
		"new store":          {nil, true, true},
		"others read late":   {[]Row{{}}, true, true},
		"settled":            {[]Row{{Epoch: epoch(3), Config: 5, Settled: true}}, true, true},
		"no restore since":   {[]Row{{Epoch: epoch(3), Config: 5, Settled: true}, {Epoch: epoch(2), Config: 5, Settled: true}}, true, true},
		"restored":           {[]Row{{Epoch: epoch(2), Config: 5, Settled: true}}, false, true},
		"not settled":        {[]Row{{Epoch: epoch(3), Config: 5}}, false, true},
		"newer known":        {[]Row{{Epoch: epoch(3), Config: 6, Settled: true}}, false, false},
		"newer known before": {[]Row{{Epoch: epoch(2), Config: 6, Settled: true}}, false, false},
		"restored again":     {[]Row{{Epoch: epoch(4), Config: 5, Settled: true}}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := map[string]Row{}
			for i, r := range c.rows {
				rows[string(rune('a'+i))] = r
			}
			is.Equal(MayServe(rows, 3, 5, false), c.now)
			is.Equal(MayServe(rows, 3, 5, true), c.waited)
		})
	}
}

// TestRowsLackedByRestoredStoreAreForgotten guards against rows of ended instances that are deleted
// from the store in each sweep for good, since the copy lacks them and no removal is ever read.
func TestRowsLackedByRestoredStoreAreForgotten(t *testing.T) {
	is := is.New(t)
	b := NewRegistry()
	start := boottime.Instant(time.Hour)
	is.NoErr(b.Apply(start, tablefeed.Update{Full: true, Rows: []tablefeed.Row{row(t, "a", Row{}), row(t, "ended", Row{})}}))
	is.NoErr(b.Apply(start.Add(time.Second), tablefeed.Update{Full: true, Restored: true, Rows: []tablefeed.Row{row(t, "a", Row{})}}))
	now := start
	for range 100 {
		now = now.Add(3 * time.Second)
		is.NoErr(b.Apply(now, tablefeed.Update{Rows: []tablefeed.Row{row(t, "a", Row{Sequence: 1})}}))
	}
	is.Equal(len(b.Stale(now, time.Minute)), 0)
}
