package explain

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// writeStreams writes the attempts of each stream and how it ended.
func writeStreams(w io.Writer, start time.Time, streams []timeline.Stream) {
	for _, s := range streams {
		fmt.Fprintf(w, "stream from %s:\n", s.Instance)
		if s.Ambiguous {
			fmt.Fprintln(w, "  two requests with this id ran at once: their attempts cannot be told apart")
		}
		for i, run := range s.Runs {
			fmt.Fprintf(w, "  attempt %d: %s\n", i+1, describeRun(run))
			if run.Check != nil {
				fmt.Fprintf(w, "    end %s\n", describeCheck(start, run))
			}
		}
		fmt.Fprintf(w, "  %s\n", describeEnd(s))
	}
}

// describeRun returns the server, the framing and the ids of an attempt and how it ended.
func describeRun(r timeline.StreamRun) string {
	parts := []string{"server " + r.Server}
	if r.ResumeAfter != "" {
		parts[0] += fmt.Sprintf(" resumed after id %s", r.ResumeAfter)
	}
	switch {
	case r.Framing == "":
		parts = append(parts, "no stream")
	default:
		parts = append(parts, "framing "+r.Framing, describeEvents(r))
	}
	return strings.Join(append(parts, describeOutcome(r)), "; ")
}

// describeEvents returns the number of events of an attempt and their ids.
func describeEvents(r timeline.StreamRun) string {
	if r.FirstID == "" {
		return fmt.Sprintf("%d events without ids", r.Events)
	}
	return fmt.Sprintf("%d events, ids %s to %s, largest step %d", r.Events, r.FirstID, r.LastID, r.LargestStep)
}

func describeOutcome(r timeline.StreamRun) string {
	switch {
	case r.End == nil:
		return "its end is not in the logs"
	case r.End.Kind == timeline.RequestAnswered:
		return "complete"
	}
	return fmt.Sprintf("failed: result %d (%s)", int(r.End.Code), r.End.Code)
}

// describeCheck returns what the check of the server found after an end without framing,
// how long after that end, and when.
func describeCheck(start time.Time, r timeline.StreamRun) string {
	text := fmt.Sprintf("without framing: at %s the server was found %s, %s after the end",
		since(start, r.Check.Time), r.Check.State, r.Check.Duration.Round(time.Microsecond))
	if r.Conclusion != "" {
		text += "; concluded: " + r.Conclusion
	}
	if r.End != nil && r.End.Kind == timeline.RequestAnswered && r.Check.Sequence > r.End.Sequence {
		text += "; the request had been answered already"
	}
	return text
}

// describeEnd returns how the stream ended for the caller.
func describeEnd(s timeline.Stream) string {
	switch {
	case s.End.Kind == "":
		return "its end is not in the logs"
	case s.Complete():
		return fmt.Sprintf("to the caller: complete, %d events", s.End.Count)
	case s.End.Count > 0:
		return fmt.Sprintf("to the caller: broken off after %d events, result %d (%s)", s.End.Count, int(s.End.Code), s.End.Code)
	}
	return fmt.Sprintf("to the caller: result %d (%s) in place of a stream", int(s.End.Code), s.End.Code)
}
