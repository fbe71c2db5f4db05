package cli

import "fmt"

func (a *app) zoneCommands() []command {
	return []command{
		{name: "out", short: "Take an availability zone out", long: "Take an availability zone out: after a few seconds no backend server in it gets new work. What runs is finished.", run: &zoneCommand{app: a, out: true}},
		{name: "in", short: "Bring an availability zone back", long: "Bring an availability zone back. Its backend servers ramp up as the router finds them warm or cold.", run: &zoneCommand{app: a}},
	}
}

// zoneCommand drains an availability zone or puts it back into service.
type zoneCommand struct {
	app  *app
	out  bool
	Args struct {
		Zone string `positional-arg-name:"ZONE" description:"Name of the availability zone in the configuration"`
	} `positional-args:"yes" required:"yes"`
	target
	wait
	output
}

// Execute implements flags.Commander.
func (c *zoneCommand) Execute([]string) error {
	c.app.json = c.JSON
	instance, err := c.client()
	if err != nil {
		return err
	}
	change, err := instance.SetZone(c.app.ctx, c.Args.Zone, c.out)
	if err != nil {
		return err
	}
	direction := "in"
	if c.out {
		direction = "out"
	}
	subject := fmt.Sprintf("zone %s is %s", c.Args.Zone, direction)
	return c.app.report(instance, change, c.wait, c.output, subject)
}
