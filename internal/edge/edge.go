package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/clientconn"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
	"github.com/hawthornwick/hawthornwick/internal/pace"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/streamorigin"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
)

const (
	// maxHeaderBytes and headerTimeout bound a caller's header. idleTimeout is far
	// longer than the time after which callers stop reusing a connection.
	maxHeaderBytes = 16 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 5 * time.Minute
	// writeTimeout bounds the answers of the readiness and metrics listeners.
	writeTimeout = 10 * time.Second
	// memoryLimitFraction is the fraction of the process's memory that is set as
	// the Go runtime's soft memory limit.
	memoryLimitFraction = 0.6
	// bufferShare is the percentage of the process's memory for the bytes of bodies and
	// unfinished answers.
	bufferShare = 25
	// deliveryShare is the percentage of Bounds.Leaving within which a request must have
	// been delivered to its server.
	deliveryShare = 75
	// ringEvents is the number of events kept in memory.
	ringEvents = 1024
)

// Edge is one running instance.
type Edge struct {
	settings        Settings
	logger          hclog.Logger
	events          timeline.Recorder
	view            *storeView
	members         *members
	sharing         *sharing
	duties          *duties
	rollouts        *rollouts
	origins         *streamorigin.Registry // nil if the platform has no tables for it
	balancer        *balance.Balancer
	pace            *pace.Book
	gateway         *gateway.Gateway
	suspects        *quarantine.Tracker
	listener        *entry.Listener
	ready           *http.Server
	readyListener   net.Listener
	metricsListener net.Listener
	metrics         *http.Server // nil if there is no listener
	guards          []*clientconn.Guard
	sink            *logsink.Sink
	adapter         func(io.Writer) // writes the adapter's metrics; nil if it has none
	leaving         atomic.Bool
}

// New creates an instance and opens its listeners. It serves nothing until Run is
// called.
func New(s Settings, p Platform, sink *logsink.Sink) (*Edge, error) {
	logger := hclog.New(&hclog.LoggerOptions{Name: s.Instance, JSONFormat: true, Output: sink, Level: hclog.Info})
	e := &Edge{settings: s, logger: logger, sink: sink, adapter: p.WriteMetrics}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	e.events = logsink.NewEvents(s.Instance, sink, timeline.NewRing(s.Instance, ringEvents, nil))
	clock := truetime.New(truetime.Options{})
	e.pace = newPaceBook(e.events)
	e.balancer = balance.New(balance.Options{
		Instance: s.Instance, Zone: s.Zone,
		Retries:       balance.RetryLimit{Window: s.Bounds.RetrySpan, Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack},
		ColdOvershoot: s.Bounds.ColdOvershoot, ColdTolerance: s.Bounds.ColdTolerance,
		Recorder: e.events, Wall: clock.Now, Pace: e.pace,
	})
	e.suspects = quarantine.New(quarantine.Options{
		Instance: s.Instance, Recorder: e.events, Notify: func(n quarantine.Notice) { e.sharing.hub.QueueCrash(n) },
		Claims: quarantine.NewTableClaims(quarantine.TableClaimsOptions{
			Instance: s.Instance, Table: p.Duties, Now: clock.Now, Logger: logger.Named("quarantine"),
			EpochAge: func() (time.Duration, bool) { return epochAge(p.Epochs) },
		}),
	})
	usage := newUsage(s, clock)
	e.rollouts = newRollouts(s, p, e.balancer, clock, e.events, logger.Named("rollouts"))
	e.sharing = newSharing(s, p, e.balancer, e.suspects, clock, e.events, logger.Named("sharing"), usage.exchange, paceTopic{e.pace}, e.rollouts)
	e.view = newStoreView(p, s.Bounds, e.balancer, e.sharing, e.rollouts, clock, e.events)
	e.members = newMembers(s, p, e.view, e.balancer, e.suspects, e.sharing, clock, e.events, logger.Named("members"))
	e.duties = newDuties(s, p, e.view, e.members, e.balancer, e.sharing, e.rollouts, usage, clock, e.events, logger.Named("duties"))
	if p.Epochs != nil {
		p.Epochs.OnChange(e.storeRestored)
		p.Epochs.OnDiscard(e.logDiscards)
	}
	if e.origins = newOrigins(s, p, e.view, e.balancer, logger.Named("streamorigin")); e.origins != nil {
		e.duties.leases.Do(controlDuty, holdOrigins(e.origins))
	}
	var observeVersions func(gateway.VersionSample) string
	if e.rollouts.enabled() {
		observeVersions = e.rollouts.observe
	}
	e.gateway = gateway.New(gateway.Options{
		Source: e.view, Balancer: e.balancer, Protocol: p.Protocol, Meter: e.duties.meter, Origins: gatewayOrigins(e.origins),
		ServersAsOf: e.view.serversAsOf,
		Suspects:    dispatch.NewTrackerSuspects(e.suspects),
		Versions:    observeVersions, Suspected: e.suspects.Suspected,
		Recorder: e.events, Pace: e.pace, Delivery: s.Bounds.Leaving * deliveryShare / 100,
		BufferBytes: s.MemoryBytes * bufferShare / 100,
	})
	e.rollouts.tail = func(service string) time.Duration {
		return e.gateway.LongestAnswer(e.view.routesOf(service))
	}
	return e, e.listen()
}

func (e *Edge) listen() error {
	var err error
	e.listener, err = entry.Listen(entry.ListenerOptions{
		Address: e.settings.CallersAddress, MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		Budget: e.gateway.Buffers(),
	}, e.gateway, e.logger)
	if err != nil {
		return err
	}
	e.guards = append(e.guards, e.listener.Guard())
	e.ready = e.shortServer(http.HandlerFunc(e.serveReady))
	ready, err := net.Listen("tcp", e.settings.ReadinessAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness checks on %s: %w", e.settings.ReadinessAddress, err)
	}
	e.readyListener = e.guardListener("readiness", bytebudget.New(readinessBudgetBytes), e.ready, ready)
	if e.sharing.server != nil {
		e.sharing.listener = e.guardListener("instances", e.gateway.Buffers(), e.sharing.server, e.sharing.listener)
	}
	if e.settings.MetricsAddress == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	e.metrics = e.shortServer(mux)
	metrics, err := net.Listen("tcp", e.settings.MetricsAddress)
	if err != nil {
		e.logger.Error("the metrics listener failed; continuing without it", "address", e.settings.MetricsAddress, "error", err)
		e.metrics = nil
		return nil
	}
	e.metricsListener = e.guardListener("metrics", e.gateway.Buffers(), e.metrics, metrics)
	return nil
}

// CallerAddress returns the IP and port of the listener for callers.
func (e *Edge) CallerAddress() string { return e.listener.Address() }

// ReadinessAddress returns the IP and port of the listener for readiness checks.
func (e *Edge) ReadinessAddress() string { return e.readyListener.Addr().String() }

// Ready reports whether the instance should receive new connections: it is not
// stopping, its tables were read, and the keys are known to be current.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.view.loaded() && e.view.KeysFresh()
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until ctx ends, and then stops gracefully within the grace period. It
// returns early with an error if a listener fails.
func (e *Edge) Run(ctx context.Context) error {
	services, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	var running sync.WaitGroup
	e.view.run(services, &running)
	e.members.run(services, &running)
	e.duties.run(services, &running)
	e.rollouts.run(services, &running)
	if e.origins != nil {
		running.Go(func() { e.origins.Run(services) })
	}
	failed := make(chan error, 2)
	running.Go(func() {
		if err := e.listener.Serve(); err != nil {
			failed <- err
		}
	})
	running.Go(func() {
		if err := e.ready.Serve(e.readyListener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve readiness checks: %w", err)
		}
	})
	running.Go(func() { e.sharing.loads.Run(services) })
	running.Go(func() {
		if err := e.sharing.serve(); err != nil {
			e.logger.Error("the listener for other instances failed; they fall back to another source or the store", "address", e.settings.PeersAddress, "error", err)
		}
	})
	if e.metrics != nil {
		running.Go(func() {
			if err := e.metrics.Serve(e.metricsListener); !errors.Is(err, http.ErrServerClosed) {
				e.logger.Error("the metrics listener failed; continuing without it", "address", e.settings.MetricsAddress, "error", err)
			}
		})
	}
	e.events.Record(timeline.Event{Kind: timeline.InstanceStarted, Zone: e.settings.Zone, Detail: "callers=" + e.settings.CallersAddress})
	var err error
	var stopped timeline.Event
	select {
	case <-ctx.Done():
		stopped = e.drain()
	case err = <-failed:
		stopped = timeline.Event{Kind: timeline.InstanceStopped, Count: e.gateway.Active()}
	}
	e.events.Record(stopped)
	stopServices()
	_ = e.listener.Close()
	_ = e.ready.Close()
	e.sharing.close()
	if e.metrics != nil {
		_ = e.metrics.Close()
	}
	running.Wait()
	e.gateway.Close()
	return err
}
