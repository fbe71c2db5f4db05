package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/spread"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	listInterval = 5 * time.Second
	// startListInterval replaces listInterval during startPhase after the
	// start. Instances that start together may each be missing from the
	// other's first list, and then messages broadcast by one do not reach the
	// other.
	startListInterval = 500 * time.Millisecond
	startPhase        = 10 * time.Second
	listTimeout       = 2 * time.Second
	probeTimeout      = 900 * time.Millisecond
)

// Network sends messages to other instances. *peer.Node implements it.
type Network interface {
	Send(ctx context.Context, name string, m peer.Message) error
	Request(ctx context.Context, name string, m peer.Message) (peer.Message, error)
	Handle(kind peer.Kind, h peer.Handler)
	HandleRequest(kind peer.Kind, h peer.RequestHandler)
	SetPeers(instances []platform.Instance)
}

// Options configure a Service.
type Options struct {
	// Self describes this instance; State must be Alive. Required.
	Self Member
	// Instances is the platform's list. Required.
	Instances platform.Instances
	// Network sends probes and updates. Required.
	Network Network
	// Recorder receives events. If nil, timeline.Discard is used.
	Recorder timeline.Recorder
	// Logger receives log lines. If nil, nothing is logged.
	Logger hclog.Logger
	// Now returns the current time. If nil, time.Now is used.
	Now func() time.Time
}

// Service keeps a Tracker current. It is safe for concurrent use.
type Service struct {
	options Options

	mu                sync.Mutex
	tracker           *Tracker
	changed           chan struct{} // closed and replaced when the membership changes
	publishedRevision uint64        // revision that was published last
}

// New returns a service that knows only its own instance. It registers its
// handlers at once; Run starts the probes. If Self.Incarnation is zero, the
// current Unix time in milliseconds is used.
func New(o Options) *Service {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(o.Now().UnixMilli())
	}
	s := &Service{options: o, tracker: NewTracker(o.Self), changed: make(chan struct{})}
	o.Network.HandleRequest(peer.KindHeartbeat, s.onProbe)
	o.Network.Handle(peer.KindHeartbeat, s.onUpdate)
	return s
}

// Run reads the platform's list and probes other instances until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	began := s.options.Now()
	listing := func() time.Duration { return s.listDelay(began) }
	probing := func() time.Duration { return ProbeInterval }
	group.Go(func() error { return every(ctx, listing, s.refreshList) })
	group.Go(func() error { return every(ctx, probing, s.probeAll) })
	return group.Wait()
}

// listDelay returns the interval between two reads of the platform's list.
func (s *Service) listDelay(began time.Time) time.Duration {
	if s.options.Now().Sub(began) < startPhase {
		return startListInterval
	}
	return listInterval
}

// every calls f at once and then repeatedly at the interval, with a jitter of
// 10 %.
func every(ctx context.Context, interval func() time.Duration, f func(context.Context)) error {
	for {
		f(ctx)
		d := interval()
		if err := wait.For(ctx, d-d/10+rand.N(d/5)); err != nil {
			return err
		}
	}
}

func (s *Service) refreshList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := s.options.Instances.List(ctx)
	if err != nil {
		s.options.Logger.Debug("reading the list of instances failed; the previous list stays in use", "error", err)
		return
	}
	s.mu.Lock()
	s.tracker.SetListed(instances, s.options.Now())
	s.publish()
	s.mu.Unlock()
}

// publish notifies waiters and the network if the membership changed. The
// caller holds mu.
func (s *Service) publish() {
	if s.publishedRevision == s.tracker.Revision() {
		return
	}
	s.publishedRevision = s.tracker.Revision()
	s.options.Network.SetPeers(s.tracker.Addresses())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) probeAll(ctx context.Context) {
	s.mu.Lock()
	updates := s.tracker.Expire(s.options.Now())
	targets := s.tracker.Targets(s.options.Now())
	s.mu.Unlock()
	s.broadcast(ctx, updates, "")
	var probes sync.WaitGroup
	for _, name := range targets {
		probes.Go(func() { s.probe(ctx, name) })
	}
	probes.Wait()
}

func (s *Service) probe(ctx context.Context, name string) {
	s.mu.Lock()
	p := s.tracker.ProbeFor(name, s.options.Now())
	s.mu.Unlock()
	reply, err := s.exchange(ctx, name, p)
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	var updates []Member
	if err != nil {
		updates = s.tracker.ProbeFailed(name, s.options.Now())
	} else {
		s.tracker.ProbeSucceeded(name)
	}
	s.mu.Unlock()
	s.broadcast(ctx, updates, "")
	if err == nil {
		s.merge(ctx, name, reply)
	}
}

func (s *Service) exchange(ctx context.Context, name string, p Probe) (Probe, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	body, err := cbor.Marshal(p)
	if err != nil {
		return Probe{}, fmt.Errorf("encode probe: %w", err)
	}
	answer, err := s.options.Network.Request(ctx, name, peer.Message{Kind: peer.KindHeartbeat, Body: body})
	if err != nil {
		return Probe{}, err
	}
	return decodeProbe(answer.Body)
}

func decodeProbe(body []byte) (Probe, error) {
	var p Probe
	if err := cbor.Unmarshal(body, &p); err != nil {
		return Probe{}, fmt.Errorf("decode probe: %w", err)
	}
	return p, nil
}

// onProbe handles a probe and returns the reply.
func (s *Service) onProbe(from string, m peer.Message) (peer.Message, error) {
	p, err := decodeProbe(m.Body)
	if err != nil {
		return peer.Message{}, err
	}
	s.merge(context.Background(), from, p)
	s.mu.Lock()
	answer := s.tracker.ProbeFor(from, s.options.Now())
	s.mu.Unlock()
	body, err := cbor.Marshal(answer)
	return peer.Message{Kind: m.Kind, Body: body}, err
}

// onUpdate handles a membership update from another instance.
func (s *Service) onUpdate(from string, m peer.Message) {
	p, err := decodeProbe(m.Body)
	if err != nil {
		s.options.Logger.Debug("decoding a membership update failed; the message is dropped", "peer", from, "error", err)
		return
	}
	s.merge(context.Background(), from, p)
}

func (s *Service) merge(ctx context.Context, from string, p Probe) {
	if p.Self.Name != from {
		return // Self must describe the authenticated sender
	}
	s.mu.Lock()
	updates := s.tracker.Merge(append(p.Updates, p.Self), s.options.Now())
	s.mu.Unlock()
	s.broadcast(ctx, updates, from)
}

// broadcast publishes updates and forwards them to all neighbours except the
// sender.
func (s *Service) broadcast(ctx context.Context, updates []Member, from string) {
	if len(updates) == 0 {
		return
	}
	s.mu.Lock()
	s.publish()
	self := s.tracker.Self()
	neighbours := spread.Graph{}.Neighbours(s.tracker.View(), self.Name)
	s.mu.Unlock()
	s.record(updates)
	body, err := cbor.Marshal(Probe{Self: self, Updates: updates})
	if err != nil {
		s.options.Logger.Error("encoding a membership update failed; it is not forwarded", "error", err)
		return
	}
	for _, name := range neighbours {
		if name != from {
			_ = s.options.Network.Send(ctx, name, peer.Message{Kind: peer.KindHeartbeat, Body: body})
		}
	}
}

func (s *Service) record(updates []Member) {
	for _, m := range updates {
		s.options.Logger.Debug("membership changed", "instance", m.Name, "state", m.State.String())
		if m.State == Down {
			s.options.Recorder.Record(timeline.Event{Kind: timeline.PeerDown, Peer: m.Name, State: m.State.String()})
		}
	}
}

// Leave announces to the other instances that this one is shutting down.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	m := s.tracker.Leave()
	s.mu.Unlock()
	s.broadcast(ctx, []Member{m}, "")
}

// Changed returns a channel that is closed when the membership changes.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Live returns the instances that are not down, ordered by name.
func (s *Service) Live() []Member {
	var live []Member
	for _, m := range s.Members() {
		if m.State != Down {
			live = append(live, m)
		}
	}
	return live
}

// Members returns all known instances, ordered by name.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Members()
}

// View returns the live instances in broadcast order.
func (s *Service) View() spread.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.View()
}

// Roster returns the names that count for a quorum.
func (s *Service) Roster() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Roster()
}
