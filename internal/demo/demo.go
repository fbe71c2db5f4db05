// Package demo runs a complete setup in one process on loopback: stand-ins for the
// platform, the engines and the plain services, several instances, a sample
// configuration, and one key per organisation.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/instance"
)

// Options configure a demo.
type Options struct {
	// Instances is the number of instances. Zero means 2.
	Instances int
	// AnswerTokens is the mean length of the engines' answers in tokens. Zero means 24.
	AnswerTokens int
	// BetweenTokens is the engines' time between two tokens. Zero means 10ms.
	BetweenTokens time.Duration
	// JSON prints the description as one line of JSON instead of text.
	JSON bool
	// Out receives the description. Required by Run.
	Out io.Writer
	// Logger receives the log of the instances. If nil, nothing is logged.
	Logger hclog.Logger
}

const (
	defaultInstances     = 2
	defaultAnswerTokens  = 24
	defaultBetweenTokens = 10 * time.Millisecond
	startTimeout         = 20 * time.Second
)

// Run starts a demo, prints its description, and stops all instances gracefully once ctx
// is done.
func Run(ctx context.Context, o Options) error {
	d, err := Start(ctx, o)
	if err != nil {
		return err
	}
	if err := d.describe(o); err != nil {
		return errors.Join(err, d.Close())
	}
	<-ctx.Done()
	return d.Close()
}

// Demo is a running demo.
type Demo struct {
	// Description holds the addresses and keys for callers.
	Description Description
	// Backends are the stand-ins. Tests inject faults through them.
	Backends *Backends

	instances []*instance.Instance
	stop      context.CancelFunc
	running   sync.WaitGroup
	cleanup   []func()
}

// Start starts a demo and returns once all instances are ready. Close must be called to
// stop it.
func Start(ctx context.Context, o Options) (*Demo, error) {
	d := new(Demo)
	if err := d.start(ctx, o.withDefaults()); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Instances <= 0 {
		o.Instances = defaultInstances
	}
	if o.AnswerTokens <= 0 {
		o.AnswerTokens = defaultAnswerTokens
	}
	if o.BetweenTokens <= 0 {
		o.BetweenTokens = defaultBetweenTokens
	}
	return o
}

func (d *Demo) start(ctx context.Context, o Options) error {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	if d.Backends, err = StartBackends(o); err != nil {
		return err
	}
	d.cleanup = append(d.cleanup, d.Backends.Close)
	if d.Description.Keys, err = d.Backends.Configure(starting); err != nil {
		return fmt.Errorf("apply the sample configuration: %w", err)
	}
	if err := d.startInstances(o); err != nil {
		return err
	}
	return d.awaitReady(starting)
}

// Close stops the instances gracefully and then the stand-ins.
func (d *Demo) Close() error {
	if d.stop != nil {
		d.stop()
	}
	d.running.Wait()
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
	return nil
}

// Description lists the addresses, keys and services of a demo.
type Description struct {
	Callers   []string             `json:"callers"`
	Operators []string             `json:"operator"`
	Keys      map[string]string    `json:"keys"` // by organisation
	Models    []string             `json:"models"`
	Classes   []string             `json:"classes"`
	Services  []ServiceDescription `json:"services"`
}

// ServiceDescription is one call to a plain service.
type ServiceDescription struct {
	Name          string   `json:"name"`
	Method        string   `json:"method"`
	Path          string   `json:"path"`
	Idempotent    bool     `json:"idempotent"`
	Organisations []string `json:"organisations"`
}

func (d *Demo) describe(o Options) error {
	if o.JSON {
		return json.NewEncoder(o.Out).Encode(d.Description)
	}
	return d.Description.writeText(o.Out)
}
