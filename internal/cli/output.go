package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// output is the option that selects text or JSON output.
type output struct {
	JSON bool `long:"json" description:"Print one JSON value for scripts; errors too, on the error stream"`
}

// print writes the value as JSON if o.JSON is set, and calls text otherwise.
func (a *app) print(o output, value any, text func(w io.Writer)) error {
	if o.JSON {
		return json.NewEncoder(a.Out).Encode(value)
	}
	text(a.Out)
	return nil
}

// table writes aligned columns. The formats passed to row separate columns by tabs.
func table(w io.Writer, rows func(row func(format string, args ...any))) {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows(func(format string, args ...any) { fmt.Fprintf(tab, format+"\n", args...) })
	tab.Flush()
}

const standardInput = "-"

// readText reads a file, or the standard input if the name is "-".
func (a *app) readText(name string) (string, error) {
	var text []byte
	var err error
	if name == standardInput {
		text, err = io.ReadAll(a.In)
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return "", invalidInput("read text: %w", err)
	}
	return string(text), nil
}
