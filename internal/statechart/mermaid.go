package statechart

import (
	"fmt"
	"strings"
)

// Markdown returns a Markdown section with the chart as a Mermaid diagram and tables
// that describe its states, events, guards and actions.
func (c *Chart) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n```mermaid\n%s```\n", c.file.Name, c.file.Doc, c.mermaid())
	writeTable(&b, "State", stateDeclarations(c.file.States))
	writeTable(&b, "Event", c.file.Events)
	writeTable(&b, "Guard", c.file.Guards)
	writeTable(&b, "Action", c.file.Actions)
	return b.String()
}

func (c *Chart) mermaid() string {
	var b strings.Builder
	fmt.Fprintf(&b, "stateDiagram-v2\n    [*] --> %s\n", c.file.Initial)
	for _, s := range c.file.States {
		for _, t := range s.On {
			next := t.To
			if next == "" {
				next = s.Name
			}
			fmt.Fprintf(&b, "    %s --> %s: %s\n", s.Name, next, t.label())
		}
		if s.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s.Name)
		}
	}
	return b.String()
}

// label formats the transition in UML notation: event [guard] / actions.
func (t transition) label() string {
	label := t.Event
	if t.If != "" {
		label += " [" + t.If + "]"
	}
	if len(t.Do) > 0 {
		label += " / " + strings.Join(t.Do, ", ")
	}
	return label
}

func writeTable(b *strings.Builder, title string, declared []declaration) {
	if len(declared) == 0 {
		return
	}
	fmt.Fprintf(b, "\n| %s | Meaning |\n|---|---|\n", title)
	for _, d := range declared {
		fmt.Fprintf(b, "| %s | %s |\n", d.Name, d.Doc)
	}
}
