package cli

import (
	"errors"
	"io/fs"

	"github.com/hawthornwick/hawthornwick/internal/settings"
)

const serveHelp = `Run one instance with the settings in a YAML file.

SIGTERM and SIGINT start a planned stop: the instance turns unready, waits for
the balancer, finishes what runs, hands on its duties and ends. A second signal
changes nothing; "hawthornwick drain --force" cuts off what still runs.`

// serveCommand runs one instance with the settings in a file.
type serveCommand struct {
	app      *app
	Settings string `long:"settings" short:"s" value-name:"FILE" required:"yes" description:"Settings of the instance (YAML)"`
	Check    bool   `long:"check" description:"Check the settings and end"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	s, err := settings.Load(c.Settings)
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return &inputError{err}
	}
	if err != nil || c.Check {
		return err
	}
	return c.app.commands.Serve(c.app.ctx, s)
}

const platformHelp = `Run one instance on the users' platform, which names the settings file in the
process's environment. SIGTERM and SIGINT start a planned stop.`

// platformCommand runs one instance on the users' platform.
type platformCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *platformCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	return c.app.commands.Platform(c.app.ctx)
}

const demoHelp = `Run the whole path in one process on loopback: stand-ins for the platform, for
model engines and for a plain service, and several instances with a sample
configuration. Prints the listeners, one key per organisation and a first
request, and runs until SIGINT or SIGTERM.`

const maxDemoInstances = 16

// demoCommand runs instances and simulated backends in one process.
type demoCommand struct {
	app       *app
	Instances int `long:"instances" value-name:"N" default:"2" description:"Number of instances, 1 to 16"`
	output
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute(args []string) error {
	c.app.json = c.JSON
	if err := rejectArguments(args); err != nil {
		return err
	}
	if c.Instances < 1 || c.Instances > maxDemoInstances {
		return invalidInput("number of instances is %d, expected 1 to %d", c.Instances, maxDemoInstances)
	}
	return c.app.commands.Demo(c.app.ctx, DemoOptions{JSON: c.JSON, Instances: c.Instances, Out: c.app.Out})
}

func rejectArguments(args []string) error {
	if len(args) > 0 {
		return invalidInput("unexpected argument %q", args[0])
	}
	return nil
}
