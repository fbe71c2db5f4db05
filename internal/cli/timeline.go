package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const timelineHelp = `Fetch the events of several instances and print them as one time line, in order
of time, instance and sequence. Formats: text for people, json with one event a
line, chrome for Perfetto and chrome://tracing. Saved json files can be read
again with --input, and so can logs of instances. Lines that are no events are
passed over; damaged ones are counted as lost.

--check checks the router's promises over the time line and fails when one is
broken. Events that an instance no longer keeps are not held against it.`

// timelineCommand merges the events of several instances.
type timelineCommand struct {
	app      *app
	Format   string        `long:"format" choice:"text" choice:"json" choice:"chrome" default:"text" description:"Form of the output"`
	JSON     bool          `long:"json" description:"Short for --format json"`
	Request  string        `long:"request" value-name:"ID" description:"Show one request only, over all instances"`
	Check    bool          `long:"check" description:"Check the router's promises in place of printing events"`
	Stats    bool          `long:"stats" description:"Sum up requests by class in place of printing events"`
	KeyBound time.Duration `long:"key-bound" value-name:"DURATION" default:"2s" description:"With --check: time within which a withdrawn key must stop working"`
	Inputs   []string      `long:"input" value-name:"FILE" description:"Read saved events in place of asking instances; may be repeated"`
	targets
}

// mergedTimeline holds the events of several instances in order.
type mergedTimeline struct {
	events   []timeline.Event
	lost     uint64             // events that instances have already overwritten, or that could not be read
	floors   map[string]float64 // by class, from the configuration; nil if unknown
	failures []error            // instances whose events could not be fetched
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute(args []string) error {
	if c.JSON {
		c.Format = "json"
	}
	c.app.json = c.Format == "json"
	if err := rejectArguments(args); err != nil {
		return err
	}
	h, err := c.collect()
	if err != nil {
		return err
	}
	return errors.Join(append(h.failures, c.show(h))...)
}

func (c *timelineCommand) show(h mergedTimeline) error {
	if c.Check {
		return c.check(h)
	}
	if c.Request != "" {
		h.events = timeline.OfRequest(h.events, c.Request)
	}
	if c.Stats {
		stats := timeline.Stats(h.events)
		return c.app.print(output{c.app.json}, stats, func(w io.Writer) { writeStats(w, stats) })
	}
	switch c.Format {
	case "json":
		return timeline.WriteJSON(c.app.Out, h.events)
	case "chrome":
		return timeline.WriteChrome(c.app.Out, h.events)
	}
	if h.lost > 0 {
		fmt.Fprintf(c.app.Err, "%d older events are no longer kept\n", h.lost)
	}
	return timeline.WriteText(c.app.Out, h.events)
}

func (c *timelineCommand) collect() (mergedTimeline, error) {
	if len(c.Inputs) > 0 {
		return c.readFiles()
	}
	return c.fetchFromInstances()
}

func (c *timelineCommand) readFiles() (mergedTimeline, error) {
	var h mergedTimeline
	var rings [][]timeline.Event
	for _, name := range c.Inputs {
		file, err := os.Open(name)
		if err != nil {
			return h, invalidInput("read events: %w", err)
		}
		log, err := timeline.ReadLog(file)
		file.Close()
		if err != nil {
			return h, invalidInput("read events of %s: %w", name, err)
		}
		if log.MalformedLines > 0 {
			fmt.Fprintf(c.app.Err, "%s: %d lines could not be read\n", name, log.MalformedLines)
			h.lost += uint64(log.MalformedLines)
		}
		rings = append(rings, log.Events)
	}
	h.events = timeline.Merge(rings...)
	h.lost += countMissing(h.events)
	return h, nil
}

// countMissing returns the number of events that are missing before the first event of
// each instance, which is the sum of the first sequence numbers.
func countMissing(events []timeline.Event) uint64 {
	first := make(map[string]uint64)
	for _, e := range events {
		if s, ok := first[e.Instance]; !ok || e.Sequence < s {
			first[e.Instance] = e.Sequence
		}
	}
	var missing uint64
	for _, s := range first {
		missing += s
	}
	return missing
}

func (c *timelineCommand) fetchFromInstances() (mergedTimeline, error) {
	var h mergedTimeline
	var rings [][]timeline.Event
	for _, address := range c.Operators {
		instance, err := c.client(address)
		if err != nil {
			return h, err
		}
		events, lost, err := instance.Timeline(c.app.ctx)
		if err != nil {
			h.failures = append(h.failures, addAddress(instance, err))
			continue
		}
		rings = append(rings, events)
		h.lost += lost
		if current, err := instance.Config(c.app.ctx); err == nil && h.floors == nil {
			h.floors = floorsOf(current.Text)
		}
	}
	h.events = timeline.Merge(rings...)
	return h, nil
}

// floorsOf returns the floor of each class, or nil if the text is not valid.
func floorsOf(text string) map[string]float64 {
	decoded, err := config.Decode("text in force", []byte(text))
	if err != nil {
		return nil
	}
	floors := make(map[string]float64, len(decoded.Classes))
	for i := range decoded.Classes {
		floors[decoded.Classes[i].Name] = decoded.Classes[i].EffectiveFloor()
	}
	return floors
}

// checkReport is the output of `timeline --check`.
type checkReport struct {
	Events     int                   `json:"events"`
	Lost       uint64                `json:"lost"`
	Checks     []string              `json:"checks"`
	Violations []invariant.Violation `json:"violations"`
}

// violationsError reports that invariants are violated.
type violationsError struct{ count int }

// Error implements the error interface.
func (e *violationsError) Error() string {
	return fmt.Sprintf("%d violations of the router's promises", e.count)
}

func (c *timelineCommand) check(h mergedTimeline) error {
	options := invariant.DefaultOptions()
	options.Complete = h.lost == 0 && len(h.failures) == 0
	options.Floors = h.floors
	options.KeyBound = c.KeyBound
	report := checkReport{Events: len(h.events), Lost: h.lost, Violations: invariant.Check(h.events, options)}
	for _, info := range invariant.Checks() {
		report.Checks = append(report.Checks, info.Name)
	}
	if report.Violations == nil {
		report.Violations = []invariant.Violation{}
	}
	if err := c.app.print(output{c.app.json}, report, report.text); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return &violationsError{len(report.Violations)}
	}
	return nil
}

func (r checkReport) text(w io.Writer) {
	for _, v := range r.Violations {
		fmt.Fprintln(w, v)
	}
	fmt.Fprintf(w, "%d checks over %d events (%d older ones no longer kept): %d violations\n",
		len(r.Checks), r.Events, r.Lost, len(r.Violations))
}

func writeStats(w io.Writer, stats []timeline.ClassStats) {
	table(w, func(row func(string, ...any)) {
		row("CLASS\tTIER\tRECEIVED\tANSWERED\tREFUSED\tFAILED\tATTEMPTS\tQUEUE P50\tP99\tANSWER P50\tP99 (ms)\tCODES")
		for _, s := range stats {
			row("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%s", s.Class, s.Tier, s.Received, s.Answered,
				s.Refused, s.Failed, s.Attempts, s.QueueP50, s.QueueP99, s.AnswerP50, s.AnswerP99, codesText(s.Codes))
		}
	})
}

func codesText(codes []timeline.CodeCount) string {
	text := ""
	for _, c := range codes {
		text += fmt.Sprintf("%d×%s ", c.Count, c.Code)
	}
	return text
}
