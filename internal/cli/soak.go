package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/soak"
)

const soakHelp = `Run instances as processes of their own before stand-ins on loopback, break links,
processes and the store by a seeded plan, and check from outside what callers and
backend servers see: at most one run of what is not idempotent, refusals that say
"not run", whole answers and none lost, streams by piece and version, withdrawn keys, usage
reported once, one holder of the duties. Ends only processes that it started.
Settings and logs stay in the directory. Exit code 1 when a promise broke.`

// soakCommand runs the soak test with one or more seeds.
type soakCommand struct {
	app       *app
	Seed      uint64        `long:"seed" default:"1" description:"First seed"`
	Seeds     int           `long:"seeds" default:"1" description:"Number of seeds, one after the other"`
	Length    time.Duration `long:"length" default:"30s" description:"Length of one run, 15s and more"`
	Instances int           `long:"instances" default:"3" description:"Instances, 1 to 200"`
	Servers   int           `long:"servers" default:"4" description:"Backend servers"`
	Clients   int           `long:"clients" default:"8" description:"Callers at once"`
	Versions  bool          `long:"versions" description:"Also change the software versions of backend servers and kill all instances at once; callers take streams up again"`
	Dir       string        `long:"dir" description:"Directory for settings and logs; a new one when empty"`
}

const (
	minSoakLength    = 15 * time.Second
	maxSoakInstances = 200
)

// Execute implements flags.Commander.
func (c *soakCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if c.Length < minSoakLength || c.Instances < 1 || c.Instances > maxSoakInstances || c.Servers < 1 || c.Clients < 1 {
		return invalidInput("expected a length of at least %v, 1 to %d instances, at least one backend server and at least one caller", minSoakLength, maxSoakInstances)
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of the running executable: %w", err)
	}
	violations := 0
	for n := range c.Seeds {
		if c.app.ctx.Err() != nil {
			break
		}
		found, err := c.runSeed(c.app.ctx, c.Seed+uint64(n), program)
		if err != nil {
			return err
		}
		violations += len(found)
	}
	if violations > 0 {
		return fmt.Errorf("%d promises broken", violations)
	}
	return nil
}

func (c *soakCommand) runSeed(ctx context.Context, seed uint64, program string) ([]string, error) {
	dir := c.Dir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "hawthornwick-soak")
		if err != nil {
			return nil, fmt.Errorf("create log directory: %w", err)
		}
		dir = tempDir
	}
	dir = filepath.Join(dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create log directory: %w", err)
	}
	fmt.Fprintf(c.app.Out, "seed %d, logs in %s\n", seed, dir)
	o := soak.Options{
		Seed: seed, Length: c.Length, Instances: c.Instances, Servers: c.Servers, Clients: c.Clients,
		Versions: c.Versions, Program: program, Dir: dir, Out: c.app.Out,
	}
	return c.app.commands.Soak(ctx, o)
}
