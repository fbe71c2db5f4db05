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
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// headerBytes and headerTimeout bound a caller's header; idle connections are
	// kept far longer than callers reuse them.
	headerBytes   = 16 << 10
	headerTimeout = 10 * time.Second
	idleTimeout   = 5 * time.Minute
	// memoryShare is the part of the process's memory from which the runtime
	// collects garbage harder.
	memoryShare = 0.6
	// noticeTime is how long the balancer takes to see that the instance is not
	// ready. Until then connections are accepted and kept.
	noticeTime = 2500 * time.Millisecond
	// graceSpare is the time before the end of the grace period at which the
	// process ends whatever runs.
	graceSpare = 400 * time.Millisecond
	// farewellTime is the time for the answers to requests that are given up.
	farewellTime = 100 * time.Millisecond
	// ringEvents is the number of events that the process keeps itself.
	ringEvents = 1024
)

// Edge is one instance.
type Edge struct {
	settings Settings
	logger   hclog.Logger
	events   timeline.Recorder
	view     *storeView
	members  *members
	sharing  *sharing
	duties   *duties
	balancer *balance.Balancer
	gateway  *gateway.Gateway
	listener *entry.Listener
	ready    *http.Server
	readyOn  net.Listener
	metrics  *http.Server
	sink     *logsink.Sink
	adapter  func(io.Writer) // writes the adapter's metrics; nil: it has none
	leaving  atomic.Bool
}

// New provisions an instance and opens its listeners. It serves nothing yet.
func New(s Settings, p Platform, sink *logsink.Sink) (*Edge, error) {
	logger := hclog.New(&hclog.LoggerOptions{Name: s.Instance, JSONFormat: true, Output: sink, Level: hclog.Info})
	e := &Edge{settings: s, logger: logger, sink: sink, adapter: p.WriteMetrics}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	e.events = logsink.NewEvents(s.Instance, sink, timeline.NewRing(s.Instance, ringEvents, nil))
	e.balancer = balance.New(balance.Options{
		Instance: s.Instance, Zone: s.Zone,
		Retries:       balance.RetryBound{Span: s.Bounds.RetrySpan, Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack},
		ColdOvershoot: s.Bounds.ColdOvershoot, ColdTolerance: s.Bounds.ColdTolerance,
		Recorder: e.events,
	})
	clock := truetime.New(truetime.Options{})
	suspects := quarantine.New(quarantine.Options{
		Instance: s.Instance, Recorder: e.events, Notify: func(n quarantine.Notice) { e.sharing.hub.Crashed(n) },
	})
	e.sharing = newSharing(s, p, e.balancer, suspects, clock, e.events, logger.Named("sharing"))
	e.view = newStoreView(p, s.Bounds, e.balancer, e.sharing, clock, e.events)
	e.members = newMembers(s, p, e.balancer, e.sharing, clock, e.events, logger.Named("members"))
	e.duties = newDuties(s, p, e.view, e.members, e.balancer, e.sharing, clock, e.events, logger.Named("duties"))
	e.gateway = gateway.New(gateway.Options{
		Source: e.view, Balancer: e.balancer, Protocol: p.Protocol, Meter: e.duties.meter,
		Suspects: dispatch.Quarantine(suspects),
		Recorder: e.events,
	})
	return e, e.listen()
}

func (e *Edge) listen() error {
	var err error
	e.listener, err = entry.Listen(entry.ListenerOptions{
		Address: e.settings.Callers, HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}, e.gateway, e.logger)
	if err != nil {
		return err
	}
	e.ready = &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: headerTimeout}
	if e.readyOn, err = net.Listen("tcp", e.settings.Readiness); err != nil {
		return fmt.Errorf("listen for readiness checks on %s: %w", e.settings.Readiness, err)
	}
	if e.settings.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	e.metrics = &http.Server{Addr: e.settings.Metrics, Handler: mux, ReadHeaderTimeout: headerTimeout}
	return nil
}

// CallerAddress returns the IP and port that callers reach.
func (e *Edge) CallerAddress() string { return e.listener.Address() }

// ReadinessAddress returns the IP and port of the readiness checks.
func (e *Edge) ReadinessAddress() string { return e.readyOn.Addr().String() }

// Ready reports whether the instance should get new connections.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.view.known() && e.view.KeysProved()
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until ctx ends, and then stops gracefully.
func (e *Edge) Run(ctx context.Context) error {
	services, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	var running sync.WaitGroup
	e.view.run(services, &running)
	e.members.run(services, &running)
	e.duties.run(services, &running)
	failed := make(chan error, 2)
	running.Go(func() {
		if err := e.listener.Serve(); err != nil {
			failed <- err
		}
	})
	running.Go(func() {
		if err := e.ready.Serve(e.readyOn); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve readiness checks: %w", err)
		}
	})
	running.Go(func() { e.sharing.loads.Run(services) })
	running.Go(func() {
		if err := e.sharing.serve(); err != nil {
			e.logger.Error("other instances are not served", "address", e.settings.Peers, "error", err)
		}
	})
	if e.metrics != nil {
		running.Go(func() {
			if err := e.metrics.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				e.logger.Error("metrics are not served", "address", e.metrics.Addr, "error", err)
			}
		})
	}
	e.events.Record(timeline.Event{Kind: timeline.InstanceStarted, Zone: e.settings.Zone, Detail: "callers=" + e.settings.Callers})
	var err error
	cutOff := int64(0)
	select {
	case <-ctx.Done():
		cutOff = e.drain()
	case err = <-failed:
		cutOff = e.gateway.Active()
	}
	e.events.Record(timeline.Event{Kind: timeline.InstanceStopped, Count: cutOff})
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

// drain waits until the balancer has noticed that the instance leaves, closes
// the connections on which no request runs, and waits for the answers of the
// others. It returns the number of requests that it gave up.
func (e *Edge) drain() int64 {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Bounds.Grace-graceSpare)
	defer cancel()
	e.leaving.Store(true)
	e.members.leaving.Store(true)
	e.listener.StopReuse()
	e.events.Record(timeline.Event{Kind: timeline.InstanceDrains, Count: e.gateway.Active()})
	_ = wait.For(ctx, noticeTime)
	err := e.listener.Shutdown(ctx)
	if err == nil {
		return 0
	}
	cutOff := e.gateway.Active()
	e.logger.Warn("the grace period is over", "active", cutOff, "error", err)
	e.gateway.Abort()
	_ = wait.For(context.Background(), farewellTime)
	return cutOff
}
