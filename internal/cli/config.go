package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/operator/client"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

func (a *app) configCommands() []command {
	return []command{
		{name: "check", short: "Check a text without an instance", long: "Check a configuration text and list every fault with its file, line, column and field. Needs no instance.", run: &configCheckCommand{app: a}},
		{name: "apply", short: "Put a text in force on all instances", long: "Check a configuration text, commit it unless another change came first, and tell on which instances it is in force. A text with faults changes nothing.", run: &configApplyCommand{app: a}},
		{name: "show", short: "Print the text in force", long: "Print the configuration text in force on an instance; its version goes to the error stream.", run: &configShowCommand{app: a}},
		{name: "diff", short: "Compare a text with the one in force", long: "List what a text would change: + added, - removed, ~ changed.", run: &configDiffCommand{app: a}},
	}
}

// textFile is the positional argument of the commands that read a configuration file.
type textFile struct {
	File string `positional-arg-name:"FILE" description:"Configuration (YAML); - is the standard input"`
}

// configCheckCommand validates a configuration without an instance.
type configCheckCommand struct {
	app  *app
	Args textFile `positional-args:"yes" required:"yes"`
	output
}

// Execute implements flags.Commander.
func (c *configCheckCommand) Execute([]string) error {
	c.app.json = c.JSON
	text, err := c.app.readText(c.Args.File)
	if err != nil {
		return err
	}
	decoded, err := config.Decode(c.Args.File, []byte(text))
	if err != nil {
		return err
	}
	answer := operator.CheckAnswer{Faults: []config.Fault{}}
	return c.app.print(c.output, answer, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid: %d organisations, %d classes, %d models, %d services, %d zones\n", c.Args.File,
			len(decoded.Organisations), len(decoded.Classes), len(decoded.Models), len(decoded.Services), len(decoded.Zones))
	})
}

// configApplyCommand commits a configuration.
type configApplyCommand struct {
	app  *app
	Args textFile `positional-args:"yes" required:"yes"`
	Base *uint64  `long:"base" value-name:"VERSION" description:"Refuse if the text was changed after this version; default: the version in force"`
	target
	wait
	output
}

// Execute implements flags.Commander.
func (c *configApplyCommand) Execute([]string) error {
	c.app.json = c.JSON
	text, err := c.app.readText(c.Args.File)
	if err != nil {
		return err
	}
	if _, err := config.Decode(c.Args.File, []byte(text)); err != nil {
		return err
	}
	instance, err := c.client()
	if err != nil {
		return err
	}
	base, err := c.baseVersion(instance)
	if err != nil {
		return err
	}
	change, err := instance.Apply(c.app.ctx, text, base)
	if err != nil {
		return err
	}
	return c.app.report(instance, change, c.wait, c.output, c.Args.File+" is accepted")
}

func (c *configApplyCommand) baseVersion(instance *client.Client) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	current, err := activeConfig(c.app, instance)
	return current.Version, err
}

// activeConfig returns the active configuration, or the zero value if there is none yet.
func activeConfig(a *app, instance *client.Client) (operator.ConfigAnswer, error) {
	current, err := instance.Config(a.ctx)
	var answered *client.AnswerError
	if errors.As(err, &answered) && answered.Body.Code == result.ConfigurationStale {
		return operator.ConfigAnswer{}, nil
	}
	return current, err
}

// configShowCommand prints the active configuration.
type configShowCommand struct {
	app *app
	target
	output
}

// Execute implements flags.Commander.
func (c *configShowCommand) Execute(args []string) error {
	instance, err := c.open(c.app, c.output, args)
	if err != nil {
		return err
	}
	current, err := instance.Config(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.print(c.output, current, func(w io.Writer) {
		io.WriteString(w, current.Text)
		fmt.Fprintf(c.app.Err, "version %d", current.Version)
		if len(current.ZonesOut) > 0 {
			fmt.Fprintf(c.app.Err, ", zones out: %s", strings.Join(current.ZonesOut, ", "))
		}
		fmt.Fprintln(c.app.Err)
	})
}

// configDiffCommand compares a configuration with the active one.
type configDiffCommand struct {
	app  *app
	Args textFile `positional-args:"yes" required:"yes"`
	target
	output
}

// diffReport is the output of `config diff`.
type diffReport struct {
	Version uint64          `json:"version"` // active version that the text was compared with
	Changes []config.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *configDiffCommand) Execute([]string) error {
	c.app.json = c.JSON
	text, err := c.app.readText(c.Args.File)
	if err != nil {
		return err
	}
	after, err := config.Decode(c.Args.File, []byte(text))
	if err != nil {
		return err
	}
	instance, err := c.client()
	if err != nil {
		return err
	}
	current, err := activeConfig(c.app, instance)
	if err != nil {
		return err
	}
	var before config.Config
	if current.Version > 0 {
		if before, err = config.Decode("text in force", []byte(current.Text)); err != nil {
			return err
		}
	}
	report := diffReport{Version: current.Version, Changes: config.Diff(before, after)}
	return c.app.print(c.output, report, report.text)
}

func (r diffReport) text(w io.Writer) {
	if len(r.Changes) == 0 {
		fmt.Fprintf(w, "no change against version %d\n", r.Version)
	}
	for _, change := range r.Changes {
		fmt.Fprintln(w, change)
	}
}
