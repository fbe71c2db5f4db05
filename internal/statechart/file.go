package statechart

// file is the YAML form of a chart.
type file struct {
	Name    string        `yaml:"chart"`
	Doc     string        `yaml:"doc"`
	Initial string        `yaml:"initial"`
	Events  []declaration `yaml:"events"`
	Guards  []declaration `yaml:"guards"`
	Actions []declaration `yaml:"actions"`
	States  []state       `yaml:"states"`
}

// declaration names an event, a guard or an action and says what it means.
type declaration struct {
	Name string `yaml:"name"`
	Doc  string `yaml:"doc"`
}

// state is one state of a chart.
type state struct {
	Name string `yaml:"name"`
	Doc  string `yaml:"doc"`
	// Final states have no transitions.
	Final bool `yaml:"final"`
	// On lists the transitions. Those of one event are tried in order.
	On []transition `yaml:"on"`
	// Ignore lists events that may arrive and change nothing.
	Ignore []string `yaml:"ignore"`
	// Reject lists events that must not arrive; firing one is an error.
	Reject []string `yaml:"reject"`
}

// transition is one reaction of a state to an event.
type transition struct {
	Event string `yaml:"event"`
	// If names the guard that must hold. Empty means always.
	If string `yaml:"if"`
	// To is the next state. Empty keeps the state and records nothing.
	To string `yaml:"to"`
	// Do names the actions, in order.
	Do []string `yaml:"do"`
}
