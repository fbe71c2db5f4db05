package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/operator/client"
)

const statusHelp = `Show what instances know: readiness, configuration version, load by class,
backend servers, other instances and the control duties they hold. With --json
it prints a list with one object an instance.`

// statusCommand shows the status of instances.
type statusCommand struct {
	app *app
	targets
	output
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	c.app.json = c.JSON
	if err := rejectArguments(args); err != nil {
		return err
	}
	statuses := []operator.Status{}
	var failures []error
	for _, address := range c.Operators {
		instance, err := c.client(address)
		if err != nil {
			return err
		}
		s, err := instance.Status(c.app.ctx)
		if err != nil {
			failures = append(failures, addAddress(instance, err))
			continue
		}
		statuses = append(statuses, s)
	}
	printErr := c.app.print(c.output, statuses, func(w io.Writer) {
		for _, s := range statuses {
			writeStatus(w, s)
		}
	})
	return errors.Join(append(failures, printErr)...)
}

// addAddress adds the address of the instance to errors that do not contain it.
func addAddress(c *client.Client, err error) error {
	var unreachable *client.UnreachableError
	if errors.As(err, &unreachable) {
		return err
	}
	return fmt.Errorf("instance at %s: %w", c.Address(), err)
}

func writeStatus(w io.Writer, s operator.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	fmt.Fprintf(w, "instance %s in zone %s: %s, %s\n", s.Instance, s.Zone, s.State, ready)
	fmt.Fprintf(w, "  configuration version %d, current: %v\n", s.Version, s.Fresh)
	if len(s.ZonesOut) > 0 {
		fmt.Fprintf(w, "  zones out: %s\n", strings.Join(s.ZonesOut, ", "))
	}
	fmt.Fprintf(w, "  requests: %d open, %d answered, %d refused, %d failed\n",
		s.Requests.Open, s.Requests.Answered, s.Requests.Refused, s.Requests.Failed)
	for _, d := range s.Duties {
		fmt.Fprintf(w, "  duty %s, fencing token %d\n", d.Duty, d.Token)
	}
	table(w, func(row func(string, ...any)) { writeLoad(row, s) })
}

func writeLoad(row func(string, ...any), s operator.Status) {
	if len(s.Classes) > 0 {
		row("  CLASS\tTIER\tQUEUED\tRUNNING")
	}
	for _, c := range s.Classes {
		row("  %s\t%d\t%d\t%d", c.Name, c.Tier, c.Queued, c.Running)
	}
	if len(s.Servers) > 0 {
		row("  SERVER\tSERVES\tZONE\tSTATE\tIN FLIGHT\tLIMIT")
	}
	for _, b := range s.Servers {
		row("  %s\t%s\t%s\t%s\t%d\t%d", b.Name, b.Pool, b.Zone, b.State, b.InFlight, b.Limit)
	}
	if len(s.Peers) > 0 {
		row("  PEER\tZONE\tUP\tVERSION")
	}
	for _, p := range s.Peers {
		row("  %s\t%s\t%v\t%d", p.Instance, p.Zone, p.Up, p.Version)
	}
}

const drainHelp = `Start a planned stop of one instance: it turns unready, serves what the balancer
still sends, finishes what runs, hands on its duties and ends. The command
returns once the stop has begun.`

// drainCommand starts a planned stop of an instance.
type drainCommand struct {
	app   *app
	Force bool `long:"force" description:"Cut off what still runs"`
	target
	output
}

// drainReport is the output of `drain`.
type drainReport struct {
	Draining bool `json:"draining"`
	Force    bool `json:"force"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute(args []string) error {
	instance, err := c.open(c.app, c.output, args)
	if err != nil {
		return err
	}
	if err := instance.Drain(c.app.ctx, c.Force); err != nil {
		return err
	}
	return c.app.print(c.output, drainReport{true, c.Force}, func(w io.Writer) {
		fmt.Fprintf(w, "instance at %s drains\n", instance.Address())
	})
}
