package gatewayfile

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	instanceName    = "gateway"
	maxHeaderBytes  = 16 << 10
	headerTimeout   = 10 * time.Second
	idleTimeout     = 5 * time.Minute
	shutdownTimeout = 30 * time.Second
	// retryAfterStop is the time after which callers may return that are refused because
	// the process stops.
	retryAfterStop = time.Second
	retryWindow    = 10 * time.Second
	retryRatio     = 0.2
	retrySlack     = 20
)

// Load reads and validates a file. If the file has faults, it returns a
// *yamlfault.FaultsError.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read routes file: %w", err)
	}
	return Decode(path, text)
}

// tableSource holds the active routing table. The file is the only source of the routes
// and keys, so they are always up to date.
type tableSource struct{ table atomic.Pointer[routes.Table] }

// Table implements gateway.Source.
func (s *tableSource) Table() *routes.Table { return s.table.Load() }

// KeysFresh implements gateway.Source.
func (s *tableSource) KeysFresh() bool { return true }

// KeysValidFor implements gateway.Source.
func (s *tableSource) KeysValidFor() time.Duration { return 0 }

// UpToDate implements gateway.Source.
func (s *tableSource) UpToDate() bool { return true }

// discardMeter discards all measurements.
type discardMeter struct{}

// Began implements gateway.Meter.
func (discardMeter) Began(string, time.Duration) {}

// Process serves the routes of a file.
type Process struct {
	source   tableSource
	balancer *balance.Balancer
	gateway  *gateway.Gateway
	listener *entry.Listener
	recorder timeline.Recorder
	version  uint64 // of the active file; incremented by each Apply
}

// New opens the listener given by the file. It does not serve requests; Run does.
func New(f File, sink *logsink.Sink) (*Process, error) {
	recorder := logsink.NewEvents(instanceName, sink, timeline.Discard)
	s := &Process{recorder: recorder}
	s.balancer = balance.New(balance.Options{
		Instance: instanceName, Zone: f.Zone,
		Retries: balance.RetryLimit{Window: retryWindow, Ratio: retryRatio, Slack: retrySlack}, Recorder: recorder,
	})
	s.balancer.SetMembers([]string{instanceName})
	s.gateway = gateway.New(gateway.Options{
		Source: &s.source, Balancer: s.balancer, Protocol: protocol{}, Meter: discardMeter{}, Recorder: recorder,
		Suspects: dispatch.NewTrackerSuspects(quarantine.New(quarantine.Options{Instance: instanceName, Recorder: recorder})),
	})
	if err := s.Apply(f); err != nil {
		return nil, err
	}
	var err error
	s.listener, err = entry.Listen(entry.ListenerOptions{
		Address: f.Listen, MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}, s.gateway, hclog.New(&hclog.LoggerOptions{Name: instanceName, JSONFormat: true, Output: sink}))
	return s, err
}

// Apply activates another version of the file. Requests in flight are not affected.
func (s *Process) Apply(f File) error {
	table, err := f.Table(s.version + 1)
	if err != nil {
		return err
	}
	s.version++
	s.balancer.SetTable(table)
	s.balancer.SetServers(f.Servers())
	s.source.table.Store(table)
	s.recorder.Record(timeline.Event{
		Kind: timeline.ConfigApplied, Version: s.version,
		Detail: fmt.Sprintf("routes=%d services=%d", len(f.Routes), len(f.Services)),
	})
	return nil
}

// Address returns the IP address and port of the callers' listener.
func (s *Process) Address() string { return s.listener.Address() }

// Run serves until ctx is done, then waits up to 30 s for the requests in flight, cuts off
// the rest and returns. Each value received from reload causes the file at path to be read
// again; if it has faults, the previous version stays active.
func (s *Process) Run(ctx context.Context, path string, reload <-chan os.Signal) error {
	failed := make(chan error, 1)
	go func() { failed <- s.listener.Serve() }()
	s.recorder.Record(timeline.Event{Kind: timeline.InstanceStarted, Detail: "callers=" + s.Address()})
	for {
		select {
		case <-reload:
			s.reload(path)
		case err := <-failed:
			return err
		case <-ctx.Done():
			return s.stop(ctx)
		}
	}
}

func (s *Process) reload(path string) {
	f, err := Load(path)
	if err == nil {
		err = s.Apply(f)
	}
	if err != nil {
		s.recorder.Record(timeline.Event{Kind: timeline.ConfigRefused, Subject: path, Detail: err.Error()})
	}
}

func (s *Process) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	s.gateway.Stop(gateway.Stop{By: time.Now().Add(shutdownTimeout), RetryAfter: func() time.Duration { return retryAfterStop }})
	s.listener.DisableKeepAlive()
	s.recorder.Record(timeline.Event{Kind: timeline.InstanceDraining, Count: s.gateway.Active()})
	err := s.listener.Shutdown(ctx)
	cutOff := s.gateway.Active()
	s.gateway.Close()
	s.recorder.Record(timeline.Event{Kind: timeline.InstanceStopped, Count: cutOff})
	return err
}
