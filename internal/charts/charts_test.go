package charts

import (
	"io/fs"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/statechart"
)

func TestAllListsEveryFile(t *testing.T) {
	is := is.New(t)
	names, err := fs.Glob(files, "*.yaml")
	is.NoErr(err)
	is.Equal(len(All()), len(names))
}

// guardValue is the result of every guard.
type guardValue bool

// bind binds a chart to guards that hold if the guardValue is true.
func bind(t *testing.T, c *statechart.Chart) *statechart.Definition[guardValue] {
	t.Helper()
	code := statechart.Code[guardValue]{Guards: map[string]func(guardValue) bool{}, Actions: c.Actions()}
	for _, name := range c.Guards() {
		code.Guards[name] = func(g guardValue) bool { return bool(g) }
	}
	d, err := statechart.Bind(c, code)
	is.New(t).NoErr(err)
	return d
}

// reachable returns the names of the states that any sequence of events leads to.
func reachable(c *statechart.Chart, d *statechart.Definition[guardValue], from string) []string {
	found := []string{from}
	for i := 0; i < len(found); i++ {
		for _, event := range c.Events() {
			for _, g := range []guardValue{false, true} {
				tr, _ := d.Next(d.State(found[i]), d.Event(event), g)
				if name := d.StateName(tr.To); !slices.Contains(found, name) {
					found = append(found, name)
				}
			}
		}
	}
	return found
}

// Guards against a result "not run" for a request of which a byte was sent.
func TestSentNeverLeadsToNotRun(t *testing.T) {
	cases := []struct {
		chart  *statechart.Chart
		notRun []string // states that imply that the request was not run
	}{
		{Request, []string{"refused"}},
		{Record, []string{"released", "refused"}},
	}
	for _, c := range cases {
		for _, state := range reachable(c.chart, bind(t, c.chart), "sent") {
			if slices.Contains(c.notRun, state) {
				t.Errorf("chart %s leads from sent to %s", c.chart.Name(), state)
			}
		}
	}
}

// Guards against a dispatch without an owned idempotency record.
func TestRecordSentOnlyWhenOwned(t *testing.T) {
	d := bind(t, Record)
	for _, state := range Record.States() {
		tr, err := d.Next(d.State(state), d.Event("sent"), false)
		if moved := err == nil && tr.Entered; moved != (state == "owned") {
			t.Errorf("state %s accepts event sent: %v", state, moved)
		}
	}
}

// Guards against a duty that runs on after its lease ended.
func TestLeaseEndStopsDuty(t *testing.T) {
	d := bind(t, Lease)
	holding := []string{"held", "doubtful"}
	for _, state := range holding {
		for _, event := range Lease.Events() {
			tr, _ := d.Next(d.State(state), d.Event(event), false)
			stops := slices.Contains(tr.Actions, d.Action("stop_duty"))
			if leaves := !slices.Contains(holding, d.StateName(tr.To)); leaves != stops {
				t.Errorf("%s on %s: leaves %v, stops the duty %v", state, event, leaves, stops)
			}
		}
	}
}

func TestStoppedInstanceNeverRestarts(t *testing.T) {
	is := is.New(t)
	is.Equal(reachable(Instance, bind(t, Instance), "stopped"), []string{"stopped"})
	is.True(!slices.Contains(reachable(Instance, bind(t, Instance), "draining"), "ready"))
}
