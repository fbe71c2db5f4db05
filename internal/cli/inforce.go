package cli

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/operator/client"
)

// wait bounds the wait until a change is in force.
type wait struct {
	Wait time.Duration `long:"wait" value-name:"TIME" default:"10s" description:"How long to wait until the change is in force on every instance; 0 does not wait"`
}

const inForcePoll = 100 * time.Millisecond

// spread tells where a change is in force.
type spread struct {
	// Everywhere is true when every known instance has the change in force.
	Everywhere bool `json:"in_force_everywhere"`
	// Instances are the versions that the instances have in force; absent when
	// nobody waited for them.
	Instances []config.InstanceVersion `json:"instances,omitempty"`
}

// notInForceError reports a change that was accepted and did not reach every
// instance in time.
type notInForceError struct {
	version uint64
	waited  time.Duration
	missing []string
}

// Error implements the error interface.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d was accepted, but after %v it is not seen in force on %v", e.version, e.waited, e.missing)
}

// follow polls until the version is in force on every known instance or the
// time to wait is over. A pending change has no version and is not followed.
func (a *app) follow(c *client.Client, change operator.ChangeAnswer, w wait) (spread, error) {
	if change.Pending || w.Wait <= 0 {
		return spread{}, nil
	}
	deadline := time.NewTimer(w.Wait)
	defer deadline.Stop()
	for {
		versions, err := c.InForce(a.ctx)
		if err != nil {
			return spread{}, fmt.Errorf("version %d was accepted; where it is in force is unknown: %w", change.Version, err)
		}
		missing := without(versions, change.Version)
		if len(missing) == 0 {
			return spread{Everywhere: true, Instances: versions}, nil
		}
		select {
		case <-a.ctx.Done():
			return spread{Instances: versions}, a.ctx.Err()
		case <-deadline.C:
			return spread{Instances: versions}, &notInForceError{change.Version, w.Wait, missing}
		case <-time.After(inForcePoll):
		}
	}
}

// without returns the instances that have not put the version in force.
func without(versions []config.InstanceVersion, version uint64) []string {
	var missing []string
	for _, v := range versions {
		if v.Version < version {
			missing = append(missing, v.Instance)
		}
	}
	slices.Sort(missing)
	return missing
}

// changeReport is what a command that changes the configuration prints.
type changeReport struct {
	operator.ChangeAnswer
	spread
}

// text prints the report after the subject, such as "zone suva-a is out".
func (r changeReport) text(w io.Writer, subject string) {
	if r.Pending {
		fmt.Fprintf(w, "%s on the instances that can be reached; it is written once the table service answers\n", subject)
		return
	}
	fmt.Fprintf(w, "%s: version %d\n", subject, r.Version)
	for _, i := range r.Instances {
		fmt.Fprintf(w, "  %s\n", inForceLine(i, r.Version))
	}
}

func inForceLine(i config.InstanceVersion, version uint64) string {
	name := i.Instance
	if i.Zone != "" {
		name += " (" + i.Zone + ")"
	}
	switch {
	case i.Version == 0:
		return name + ": not reached"
	case i.Version < version:
		return fmt.Sprintf("%s: still at version %d", name, i.Version)
	}
	return name + ": in force"
}

// report follows the change, prints the outcome and returns what went wrong.
func (a *app) report(c *client.Client, change operator.ChangeAnswer, w wait, o output, subject string) error {
	where, err := a.follow(c, change, w)
	r := changeReport{change, where}
	if printed := a.print(o, r, func(w io.Writer) { r.text(w, subject) }); printed != nil {
		return printed
	}
	return err
}
