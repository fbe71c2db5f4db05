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

// wait is the option of commands that wait until a change is active.
type wait struct {
	Wait time.Duration `long:"wait" value-name:"TIME" default:"10s" description:"How long to wait until the change is in force on every instance; 0 does not wait"`
}

const inForcePollInterval = 100 * time.Millisecond

// rollout is the progress of a change over the instances.
type rollout struct {
	// Everywhere is true if the change is active on all known instances.
	Everywhere bool `json:"in_force_everywhere"`
	// Instances are the active versions of the known instances. Nil means that the
	// command did not wait.
	Instances []config.InstanceVersion `json:"instances,omitempty"`
}

// notInForceError reports a change that was accepted but not active on all instances in
// time.
type notInForceError struct {
	version uint64
	waited  time.Duration
	missing []string
}

// Error implements the error interface.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d was accepted, but after %v it is not seen in force on %v", e.version, e.waited, e.missing)
}

// awaitInForce polls until the version is active on all known instances or the wait
// time has passed. It returns at once for a pending change, which has no version yet.
func (a *app) awaitInForce(c *client.Client, change operator.ChangeAnswer, w wait) (rollout, error) {
	if change.Pending || w.Wait <= 0 {
		return rollout{}, nil
	}
	deadline := time.NewTimer(w.Wait)
	defer deadline.Stop()
	for {
		versions, err := c.InForce(a.ctx)
		if err != nil {
			return rollout{}, fmt.Errorf("version %d was accepted; where it is in force is unknown: %w", change.Version, err)
		}
		missing := instancesBehind(versions, change.Version)
		if len(missing) == 0 {
			return rollout{Everywhere: true, Instances: versions}, nil
		}
		select {
		case <-a.ctx.Done():
			return rollout{Instances: versions}, a.ctx.Err()
		case <-deadline.C:
			return rollout{Instances: versions}, &notInForceError{change.Version, w.Wait, missing}
		case <-time.After(inForcePollInterval):
		}
	}
}

// instancesBehind returns the sorted names of the instances with an older version.
func instancesBehind(versions []config.InstanceVersion, version uint64) []string {
	var missing []string
	for _, v := range versions {
		if v.Version < version {
			missing = append(missing, v.Instance)
		}
	}
	slices.Sort(missing)
	return missing
}

// changeReport is the output of commands that change the configuration.
type changeReport struct {
	operator.ChangeAnswer
	rollout
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

// report waits until the change is active, prints the result and returns the error, if
// any.
func (a *app) report(c *client.Client, change operator.ChangeAnswer, w wait, o output, subject string) error {
	progress, err := a.awaitInForce(c, change, w)
	r := changeReport{change, progress}
	if printErr := a.print(o, r, func(w io.Writer) { r.text(w, subject) }); printErr != nil {
		return printErr
	}
	return err
}
