package demo

import (
	"context"
	"crypto/rand"
	_ "embed"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/confsync"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

//go:embed configuration.yaml
var configurationText string

const (
	firstToken = 40 * time.Millisecond
	// serverStartTime and weightBytes are small, so that an ordered server starts within
	// seconds.
	serverStartTime = 500 * time.Millisecond
	weightBytes     = 64 << 20
	// orderedColdLimit is the maximum number of requests in flight on a newly started
	// engine.
	orderedColdLimit = 2
	engineSlots      = 64
	loopback         = "127.0.0.1:0"
)

// Backends are the stand-ins of a demo: the platform, the engines and the plain services.
type Backends struct {
	Platform *standin.Platform
	Engines  []*engine.Engine
	Plain    []*plain.Service
	// Timeline holds the events of the stand-ins.
	Timeline *timeline.Ring

	// Endpoint is the base URL of the platform's interfaces.
	Endpoint string

	server *http.Server

	mu      sync.Mutex
	ordered map[string]*engine.Engine // started by orders to the platform; by name
}

// engineSpecs are the engines that run from the start. engine-3 is preemptible.
var engineSpecs = []struct {
	name, zone, model string
	preemptible       bool
}{
	{"engine-1", "zone-a", "roster-8b", false},
	{"engine-2", "zone-b", "roster-8b", false},
	{"engine-3", "zone-b", "roster-8b", true},
	{"engine-4", "zone-a", "label-2b", false},
	{"engine-5", "zone-b", "label-2b", false},
}

var plainServices = []string{"entries", "bookings", "credits"}

var zones = []string{"zone-a", "zone-b"}

// StartBackends starts the stand-ins. Close must be called to stop them.
func StartBackends(o Options) (*Backends, error) {
	o = o.withDefaults()
	b := &Backends{Timeline: timeline.NewRing("stand-ins", 0, nil), ordered: make(map[string]*engine.Engine)}
	b.Platform = standin.New(standin.Options{
		Recorder:    b.Timeline,
		StartTime:   serverStartTime,
		WeightBytes: weightBytes,
		StartServer: func(order platform.Order, name string) (string, error) { return b.startOrdered(o, order, name) },
		StopServer:  b.stopOrdered,
	})
	if err := b.servePlatform(); err != nil {
		return nil, err
	}
	if err := b.startEngines(o); err != nil {
		b.Close()
		return nil, err
	}
	if err := b.startPlain(); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Backends) servePlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("listen for the stand-in platform: %w", err)
	}
	b.Endpoint = "http://" + l.Addr().String()
	b.server = &http.Server{Handler: b.Platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(l) }()
	return nil
}

func (b *Backends) startEngines(o Options) error {
	for _, spec := range engineSpecs {
		e, err := engine.Start(engine.Options{
			Name: spec.name, Zone: spec.zone, Model: spec.model,
			FirstToken: firstToken, BetweenTokens: o.BetweenTokens, AnswerTokens: o.AnswerTokens, Slots: engineSlots,
			Recorder: b.Timeline,
		})
		if err != nil {
			return fmt.Errorf("start %s: %w", spec.name, err)
		}
		b.Engines = append(b.Engines, e)
		b.Platform.AddServer(platform.Server{
			Name: spec.name, Address: e.Address(), Zone: spec.zone, Model: spec.model,
			Preemptible: spec.preemptible, Epoch: e.Epoch(), State: platform.ServerRunning,
		})
	}
	return nil
}

// startOrdered starts an engine for an order of the router and returns its address.
func (b *Backends) startOrdered(o Options, order platform.Order, name string) (string, error) {
	e, err := engine.Start(engine.Options{
		Name: name, Zone: order.Zone, Model: order.Model, ColdLimit: orderedColdLimit, Slots: engineSlots,
		FirstToken: firstToken, BetweenTokens: o.BetweenTokens, AnswerTokens: o.AnswerTokens,
		Recorder: b.Timeline,
	})
	if err != nil {
		return "", err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ordered[name] = e
	return e.Address(), nil
}

// stopOrdered stops an ordered engine that the router returned or the platform
// reclaimed.
func (b *Backends) stopOrdered(name string) {
	b.mu.Lock()
	e := b.ordered[name]
	delete(b.ordered, name)
	b.mu.Unlock()
	if e != nil {
		_ = e.Close()
	}
}

func (b *Backends) startPlain() error {
	for _, service := range plainServices {
		for _, zone := range zones {
			s, err := plain.Start(plain.Options{
				Name: service + "-" + zone, Zone: zone, Service: service, Recorder: b.Timeline,
			})
			if err != nil {
				return fmt.Errorf("start %s in %s: %w", service, zone, err)
			}
			b.Plain = append(b.Plain, s)
		}
	}
	return nil
}

// Configure applies the sample configuration, grants a key to each organisation, and
// returns the keys by organisation.
func (b *Backends) Configure(ctx context.Context) (map[string]string, error) {
	text := b.configuration()
	c, err := config.Decode("demo", []byte(text))
	if err != nil {
		return nil, err
	}
	editor := confsync.New(confsync.Options{
		Instance: "demo",
		Table:    b.Platform.Caller("demo").Table(),
		Compile:  func(text string) (config.Config, error) { return config.Decode("demo", []byte(text)) },
	})
	if _, err := editor.Apply(ctx, text, 0); err != nil {
		return nil, err
	}
	keys := make(map[string]string, len(c.Organisations))
	for _, org := range c.Organisations {
		key := "demo-" + rand.Text()
		if _, err := editor.GrantKey(ctx, config.DigestKey(key), org.Name); err != nil {
			return nil, fmt.Errorf("grant a key to %s: %w", org.Name, err)
		}
		keys[org.Name] = key
	}
	return keys, nil
}

// configuration returns the sample configuration with the addresses of the plain
// services.
func (b *Backends) configuration() string {
	text := configurationText
	for _, service := range plainServices {
		text = strings.ReplaceAll(text, strings.ToUpper(service)+"_SERVERS", b.serverList(service))
	}
	return text
}

func (b *Backends) serverList(service string) string {
	var entries []string
	for _, s := range b.Plain {
		if s.Service() == service {
			entries = append(entries, fmt.Sprintf("{address: %q, zone: %s}", s.Address(), s.Zone()))
		}
	}
	return "[" + strings.Join(entries, ", ") + "]"
}

// Close stops the stand-ins.
func (b *Backends) Close() {
	for _, e := range b.Engines {
		e.Close()
	}
	for _, s := range b.Plain {
		s.Close()
	}
	_ = b.server.Close()
	b.Platform.Close()
	b.mu.Lock()
	names := slices.Collect(maps.Keys(b.ordered))
	b.mu.Unlock()
	for _, name := range names {
		b.stopOrdered(name)
	}
}
