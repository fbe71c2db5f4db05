package confsync

import (
	"context"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/confsync/quorum"
	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

// rounds drives the quorum agent of a store.
type rounds struct {
	store *Store
	wake  chan struct{}

	mu             sync.Mutex
	agent          *quorum.Agent
	confirmed      quorum.Confirmation
	confirmedAgain chan struct{} // closed and replaced at each confirmation
}

// rosterRequest and rosterReply are the bodies of kind peer.KindRoster.
type rosterRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
}

type rosterReply struct {
	Names []string `cbor:"1,keyasint"`
}

func newRounds(s *Store) *rounds {
	now := s.options.Now()
	return &rounds{
		store:          s,
		wake:           make(chan struct{}, 1),
		agent:          quorum.NewAgent(s.options.Instance, uint64(now.UnixMilli()), now),
		confirmedAgain: make(chan struct{}),
	}
}

// register sets the message handlers.
func (s *Store) register() {
	n := s.options.Network
	n.Handle(peer.KindConfigDelta, s.onDelta)
	n.Handle(peer.KindWithdrawals, s.onWithdrawals)
	n.HandleRequest(peer.KindConfigState, s.onPull)
	n.Handle(peer.KindRound, s.rounds.onRound)
	n.Handle(peer.KindRoundEcho, s.rounds.onEcho)
	n.HandleRequest(peer.KindRoster, s.rounds.onRoster)
}

// run ticks the agent until ctx is done.
func (r *rounds) run(ctx context.Context) {
	members := r.store.options.Members
	changed := members.Changed()
	r.setMembers()
	for {
		timer := time.NewTimer(r.tick().Sub(r.store.options.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
			changed = members.Changed()
			r.setMembers()
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (r *rounds) setMembers() {
	members := r.store.options.Members
	view := members.View()
	roster := quorum.NewRoster(members.Roster())
	neighbours := spread.Graph{}.Neighbours(view, r.store.options.Instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agent.SetMembers(roster, neighbours, quorum.Roots(view))
}

// tick runs the agent and returns the time of the next tick.
func (r *rounds) tick() time.Time {
	local := r.store.local()
	r.mu.Lock()
	r.agent.SetLocal(local)
	effects, next := r.agent.Tick(r.store.options.Now())
	r.mu.Unlock()
	r.apply(effects)
	return next
}

func (r *rounds) onRound(from string, m peer.Message) {
	var round quorum.Round
	if err := decodeBody(m, &round); err != nil {
		r.store.options.Logger.Warn("decoding a round failed; the message is dropped", "peer", from, "error", err)
		return
	}
	local := r.store.local()
	r.mu.Lock()
	r.agent.SetLocal(local)
	effects := r.agent.OnRound(r.store.options.Now(), from, round)
	r.mu.Unlock()
	r.apply(effects)
	r.requestTick()
}

func (r *rounds) onEcho(from string, m peer.Message) {
	var echo quorum.Echo
	if err := decodeBody(m, &echo); err != nil {
		r.store.options.Logger.Warn("decoding answers to a round failed; the message is dropped", "peer", from, "error", err)
		return
	}
	r.mu.Lock()
	r.agent.OnEcho(r.store.options.Now(), echo)
	r.mu.Unlock()
	r.requestTick()
}

// requestTick makes run call tick now, which also resets its timer.
func (r *rounds) requestTick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *rounds) onRoster(_ string, m peer.Message) (peer.Message, error) {
	var request rosterRequest
	if err := decodeBody(m, &request); err != nil {
		return peer.Message{}, err
	}
	r.mu.Lock()
	roster, _ := r.agent.Roster(request.Digest)
	r.mu.Unlock()
	return newMessage(peer.KindRoster, rosterReply{Names: roster.Names})
}

func (r *rounds) apply(e quorum.Effects) {
	for _, p := range e.Proofs {
		r.store.addProof(proof{at: p.At, version: p.Version})
	}
	for _, c := range e.Confirmations {
		r.setConfirmation(c)
	}
	for _, out := range e.Send {
		r.send(out)
	}
	if e.FetchRoster != 0 {
		go r.fetchRoster(e.FetchRoster, e.FetchFrom)
	}
}

func (r *rounds) send(out quorum.Outgoing) {
	kind, body := peer.KindRound, any(out.Round)
	if out.Echo != nil {
		kind, body = peer.KindRoundEcho, out.Echo
	}
	m, err := newMessage(kind, body)
	if err != nil {
		r.store.options.Logger.Error("encoding a round message failed; it is dropped", "error", err)
		return
	}
	r.store.send(out.To, m)
}

func (r *rounds) fetchRoster(digest uint64, from string) {
	ctx, cancel := context.WithTimeout(context.Background(), r.store.options.ReadTimeout)
	defer cancel()
	m, err := newMessage(peer.KindRoster, rosterRequest{Digest: digest})
	if err != nil {
		return
	}
	reply, err := r.store.options.Network.Request(ctx, from, m)
	if err != nil {
		return
	}
	var answer rosterReply
	if err := decodeBody(reply, &answer); err != nil {
		return
	}
	roster := quorum.NewRoster(answer.Names)
	if roster.Digest != digest {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agent.AddRoster(roster)
}

// setConfirmation stores the confirmation with the highest version and wakes
// waiters.
func (r *rounds) setConfirmation(c quorum.Confirmation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Version < r.confirmed.Version {
		return
	}
	r.confirmed = c
	close(r.confirmedAgain)
	r.confirmedAgain = make(chan struct{})
}

// latest returns the newest confirmation and a channel that is closed at the
// next one.
func (r *rounds) latest() (quorum.Confirmation, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed, r.confirmedAgain
}

// waitAccepted waits until a quorum has the version in force. It returns false
// if ctx is done first.
func (r *rounds) waitAccepted(ctx context.Context, version uint64) bool {
	for {
		c, arrived := r.latest()
		if c.Version >= version && c.Holders.Len(len(c.Roster.Names)) >= c.Roster.AcceptanceQuorum() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-arrived:
		}
	}
}
