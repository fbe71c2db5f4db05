package statechart

import (
	"fmt"
	"regexp"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// names maps each declared name to its index.
type names map[string]int

// checker checks a decoded chart and adds every fault to the document.
type checker struct {
	doc  *yamlfault.Document
	file *file

	states, events, guards, actions     names
	usedEvents, usedGuards, usedActions map[string]bool
}

func newChecker(doc *yamlfault.Document, f *file) *checker {
	return &checker{
		doc: doc, file: f,
		usedEvents: map[string]bool{}, usedGuards: map[string]bool{}, usedActions: map[string]bool{},
	}
}

func (c *checker) run() {
	if !namePattern.MatchString(c.file.Name) {
		c.doc.AddFault("chart", "%q is not a name of lower-case letters, digits and '_'", c.file.Name)
	}
	c.events = c.declare("events", c.file.Events)
	c.guards = c.declare("guards", c.file.Guards)
	c.actions = c.declare("actions", c.file.Actions)
	c.states = c.declare("states", stateDeclarations(c.file.States))
	if _, ok := c.states[c.file.Initial]; !ok {
		c.doc.AddFault("initial", "state %q is not declared", c.file.Initial)
	}
	for i := range c.file.States {
		c.checkState(elementPath("states", i), &c.file.States[i])
	}
	c.checkUnused("events", c.file.Events, c.usedEvents)
	c.checkUnused("guards", c.file.Guards, c.usedGuards)
	c.checkUnused("actions", c.file.Actions, c.usedActions)
	c.checkReachability()
}

func elementPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func stateDeclarations(states []state) []declaration {
	declared := make([]declaration, 0, len(states))
	for _, s := range states {
		declared = append(declared, declaration{s.Name, s.Doc})
	}
	return declared
}

func (c *checker) declare(list string, declared []declaration) names {
	if len(declared) > maxNames {
		c.doc.AddFault(list, "%d names exceed the limit of %d", len(declared), maxNames)
	}
	indices := make(names, len(declared))
	for i, d := range declared {
		at := elementPath(list, i)
		if !namePattern.MatchString(d.Name) {
			c.doc.AddFault(at+".name", "%q is not a name of lower-case letters, digits and '_'", d.Name)
		}
		if _, duplicate := indices[d.Name]; duplicate {
			c.doc.AddFault(at+".name", "%q is declared twice", d.Name)
		}
		if d.Doc == "" {
			c.doc.AddFault(at+".doc", "required")
		}
		indices[d.Name] = i
	}
	return indices
}

func (c *checker) checkUnused(list string, declared []declaration, used map[string]bool) {
	for i, d := range declared {
		if !used[d.Name] {
			c.doc.AddFault(elementPath(list, i)+".name", "%q is declared but not used", d.Name)
		}
	}
}

// checkReference reports an undeclared name and marks a declared name as used.
func (c *checker) checkReference(declared names, used map[string]bool, path, kind, name string) {
	if _, ok := declared[name]; !ok {
		c.doc.AddFault(path, "%s %q is not declared", kind, name)
		return
	}
	used[name] = true
}

func (c *checker) checkState(path string, s *state) {
	if s.Final && len(s.On) > 0 {
		c.doc.AddFault(path+".on", "final state %q cannot have transitions", s.Name)
	}
	handledBy := make(map[string]string) // event name to the path of its transition or list entry
	for i, t := range s.On {
		at := elementPath(path+".on", i)
		c.checkTransition(at, t)
		c.checkOrder(at, s, i)
		handledBy[t.Event] = at
	}
	c.checkEventList(path+".ignore", s.Ignore, handledBy)
	c.checkEventList(path+".reject", s.Reject, handledBy)
	for _, e := range c.file.Events {
		if handledBy[e.Name] == "" {
			c.doc.AddFault(path, "state %q neither handles nor ignores nor rejects event %q", s.Name, e.Name)
		}
	}
}

func (c *checker) checkTransition(path string, t transition) {
	c.checkReference(c.events, c.usedEvents, path+".event", "event", t.Event)
	if t.If != "" {
		c.checkReference(c.guards, c.usedGuards, path+".if", "guard", t.If)
	}
	if _, ok := c.states[t.To]; t.To != "" && !ok {
		c.doc.AddFault(path+".to", "state %q is not declared", t.To)
	}
	if t.To == "" && len(t.Do) == 0 {
		c.doc.AddFault(path, "transition has neither a next state nor actions; list the event under ignore")
	}
	for i, action := range t.Do {
		c.checkReference(c.actions, c.usedActions, elementPath(path+".do", i), "action", action)
	}
}

// checkOrder reports ambiguous transitions of one event. Transitions are tried in
// order, so each but the last needs its own guard, and the last must have no guard.
func (c *checker) checkOrder(path string, s *state, i int) {
	event, last := s.On[i].Event, true
	for _, later := range s.On[i+1:] {
		if later.Event != event {
			continue
		}
		last = false
		if later.If == s.On[i].If {
			c.doc.AddFault(path, "event %q has two transitions with the same guard", event)
		}
	}
	if last && s.On[i].If != "" {
		c.doc.AddFault(path, "event %q needs a last transition without a guard", event)
	}
	if !last && s.On[i].If == "" {
		c.doc.AddFault(path, "a transition without a guard must be the last of event %q", event)
	}
}

func (c *checker) checkEventList(path string, events []string, handledBy map[string]string) {
	for i, name := range events {
		at := elementPath(path, i)
		c.checkReference(c.events, c.usedEvents, at, "event", name)
		if earlier := handledBy[name]; earlier != "" {
			c.doc.AddFault(at, "event %q is already handled by %s", name, earlier)
		}
		handledBy[name] = at
	}
}
