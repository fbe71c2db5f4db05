// Package yamlfault is a strict YAML decoder that reports all faults of a text at
// once, each with its file, line, column and field.
package yamlfault

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one fault of a text.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // starts at 1; 0 means the whole text
	Column  int    `json:"column"` // starts at 1; 0 means the whole text
	Field   string `json:"field"`  // path such as classes[2].floor; empty means the whole text
	Message string `json:"message"`
}

// String formats the fault as file:line:column: field: message.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, ": %s", f.Field)
	}
	fmt.Fprintf(&b, ": %s", f.Message)
	return b.String()
}

// FaultsError lists all faults of a text in order of line and column.
type FaultsError struct{ Faults []Fault }

// Error returns the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
