package statechart

// file is the YAML representation of a chart.
type file struct {
	Name    string        `yaml:"chart"`
	Doc     string        `yaml:"doc"`
	Initial string        `yaml:"initial"`
	Events  []declaration `yaml:"events"`
	Guards  []declaration `yaml:"guards"`
	Actions []declaration `yaml:"actions"`
	States  []state       `yaml:"states"`
}

// declaration is the name and the description of an event, a guard or an action.
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
	// On lists the transitions. The transitions of one event are tried in order.
	On []transition `yaml:"on"`
	// Ignore lists events that may occur and have no effect.
	Ignore []string `yaml:"ignore"`
	// Reject lists events that must not occur. Firing one is an error.
	Reject []string `yaml:"reject"`
}

// transition is one reaction of a state to an event.
type transition struct {
	Event string `yaml:"event"`
	// If is the guard that must hold. Empty means that the transition is always taken.
	If string `yaml:"if"`
	// To is the next state. Empty means that the state is kept and no event is
	// recorded.
	To string `yaml:"to"`
	// Do lists the actions in order of execution.
	Do []string `yaml:"do"`
}
