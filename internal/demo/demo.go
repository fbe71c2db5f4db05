// Package demo runs the whole path in one process on loopback: stand-ins for
// the platform, the engines and plain services, several instances, a sample
// configuration and a key for each organisation.
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
	// Instances is the number of router instances. Default 2; zero means the default.
	Instances int
	// AnswerTokens is the mean length of the engines' answers. Default 24; zero
	// means the default.
	AnswerTokens int
	// BetweenTokens is the engines' time between tokens. Default 10ms; zero means
	// the default.
	BetweenTokens time.Duration
	// JSON prints the description as one line of JSON instead of text.
	JSON bool
	// Out takes the description. Required.
	Out io.Writer
	// Logger takes the instances' log lines. Nil means none.
	Logger hclog.Logger
}

const (
	defaultInstances     = 2
	defaultAnswerTokens  = 24
	defaultBetweenTokens = 10 * time.Millisecond
	startTimeout         = 20 * time.Second
)

// Run serves until ctx ends, then stops every instance gracefully.
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
	// Description tells callers where to go and which keys to use.
	Description Description
	// Backends are the stand-ins, whose faults tests switch.
	Backends *Backends

	instances []*instance.Instance
	stop      context.CancelFunc
	running   sync.WaitGroup
	cleanup   []func()
}

// Start runs a demo until Close. It returns once every instance serves.
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

// Close stops the instances gracefully, then the stand-ins.
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

// Description is what a caller needs to use the demo.
type Description struct {
	Callers   []string             `json:"callers"`
	Operators []string             `json:"operator"`
	Keys      map[string]string    `json:"keys"` // organisation to key
	Models    []string             `json:"models"`
	Classes   []string             `json:"classes"`
	Services  []ServiceDescription `json:"services"`
}

// ServiceDescription is one route to a plain service.
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
