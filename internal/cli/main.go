// Package cli is the command line of the hawthornwick binary.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/hawthornwick/hawthornwick/internal/settings"
	"github.com/hawthornwick/hawthornwick/internal/soak"
)

// Commands are the implementations of the commands that run instances. All fields are
// required for the commands of the same name.
type Commands struct {
	// Serve runs one instance until ctx is done, then stops it gracefully.
	Serve func(ctx context.Context, s *settings.Settings) error
	// Platform runs one instance on the users' platform until ctx is done, then stops
	// it gracefully.
	Platform func(ctx context.Context) error
	// Soak runs the soak test with one seed and returns the violated invariants.
	Soak func(ctx context.Context, o soak.Options) ([]string, error)
	// Demo runs instances and simulated backends in one process until ctx is done.
	Demo func(ctx context.Context, o DemoOptions) error
}

// DemoOptions are the options of the demo.
type DemoOptions struct {
	// JSON prints the description of the demo as one line of JSON instead of text.
	JSON bool
	// Instances is the number of router instances, at least 1.
	Instances int
	// Out receives the description. Required.
	Out io.Writer
}

// Streams are the standard streams of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Main runs the command given by args, which do not include the program's name, and
// returns the exit code. SIGINT and SIGTERM cancel the command's context. A second
// signal has no effect.
func Main(args []string, c Commands) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, args, c, Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}

// app is the state that the commands share.
type app struct {
	ctx      context.Context
	commands Commands
	Streams
	json bool // errors are printed as JSON
}

const longDescription = `Hawthornwick routes language-model traffic by service level and priority.

Try "hawthornwick demo" first. Operators' commands talk to the operators'
listener of any instance; name it with --operator or HAWTHORNWICK_OPERATOR.

Exit codes: 0 done; 1 the act failed; 2 the input is not valid; 3 another
change came first; 4 no instance answered.`

// Run is like Main but uses the given context and streams, and handles no signals.
func Run(ctx context.Context, args []string, c Commands, s Streams) int {
	a := &app{ctx: ctx, commands: c, Streams: s}
	parser := flags.NewNamedParser("hawthornwick", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if err := a.register(parser); err != nil {
		return a.reportError(err)
	}
	_, err := parser.ParseArgs(args)
	var parsing *flags.Error
	if errors.As(err, &parsing) && parsing.Type == flags.ErrHelp {
		fmt.Fprintln(a.Out, parsing.Message)
		return exitDone
	}
	if err != nil {
		return a.reportError(err)
	}
	return exitDone
}

// command is one command or group of commands.
type command struct {
	name, short, long string
	run               any       // flags.Commander with its options; nil for a group
	commands          []command // commands of a group
}

func (a *app) register(p *flags.Parser) error {
	return addCommands(p.Command, []command{
		{name: "serve", short: "Run one instance", long: serveHelp, run: &serveCommand{app: a}},
		{name: "platform", short: "Run one instance on the users' platform", long: platformHelp, run: &platformCommand{app: a}},
		{name: "gateway", short: "Serve HTTP routes from a file, without a platform", long: gatewayHelp, run: &gatewayCommand{app: a}},
		{name: "demo", short: "Run everything on this machine to try it out", long: demoHelp, run: &demoCommand{app: a}},
		{name: "soak", short: "Break instances and what is around them, and check the promises", long: soakHelp, run: &soakCommand{app: a}},
		{name: "config", short: "Check, apply, show or compare the configuration", commands: a.configCommands()},
		{name: "key", short: "Grant, withdraw or list callers' keys", commands: a.keyCommands()},
		{name: "zone", short: "Take an availability zone out or back in", commands: a.zoneCommands()},
		{name: "status", short: "Show what instances know", long: statusHelp, run: &statusCommand{app: a}},
		{name: "drain", short: "Stop an instance without cutting off requests", long: drainHelp, run: &drainCommand{app: a}},
		{name: "explain", short: "Tell the story of one request from logs", long: explainHelp, run: &explainCommand{app: a}},
		{name: "timeline", short: "Show the events of all instances in order", long: timelineHelp, run: &timelineCommand{app: a}},
	})
}

func addCommands(parent *flags.Command, list []command) error {
	for _, c := range list {
		if c.run == nil {
			c.run = &struct{}{}
		}
		if c.long == "" {
			c.long = c.short + "."
		}
		added, err := parent.AddCommand(c.name, c.short, c.long, c.run)
		if err != nil {
			return fmt.Errorf("command %q: %w", c.name, err)
		}
		if err := addCommands(added, c.commands); err != nil {
			return err
		}
	}
	return nil
}
