package quorum

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/eventqueue"
	"github.com/hawthornwick/hawthornwick/internal/peer/peertest"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

const (
	nearLatency    = 2 * time.Millisecond
	farLatency     = 41 * time.Millisecond
	simZones       = 10
	zonesPerRegion = 3
	readInterval   = time.Second
	readTimeout    = time.Second
	freshLimit     = 5 * time.Second
)

// simNode is one simulated instance.
type simNode struct {
	name           string
	zone           int
	agent          *Agent
	local          LocalState
	proof          Proof
	crashed        bool
	tableReachable bool // can read the table service
	group          int  // nodes of different groups cannot exchange messages

	sent, bytes int
	staleAt     []time.Duration
	confirmed   uint64
	timerAt     time.Duration // when the timer fires; zero if it is not set
}

// fleet runs agents over a simulated network.
type fleet struct {
	now     time.Duration
	queue   eventqueue.Queue
	nodes   []*simNode
	byName  map[string]*simNode
	version uint64 // newest in the table service
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (f *fleet) clock() time.Time { return epoch.Add(f.now) }

func newFleet(n int) *fleet {
	f := &fleet{byName: make(map[string]*simNode), version: 1}
	var members []spread.Member
	var names []string
	for i := range n {
		zone := i % min(simZones, n)
		m := spread.Member{Name: fmt.Sprintf("i%03d", i), Zone: fmt.Sprintf("z%02d", zone)}
		members = append(members, m)
		names = append(names, m.Name)
	}
	view := spread.NewView(members)
	roster := NewRoster(names)
	roots := Roots(view)
	for i, m := range members {
		node := &simNode{name: m.Name, zone: i % min(simZones, n), tableReachable: true}
		node.agent = NewAgent(m.Name, 1000, f.clock())
		node.agent.SetMembers(roster, spread.Graph{}.Neighbours(view, m.Name), roots)
		node.local = LocalState{InForce: 1, Newest: 1, Ready: true}
		f.nodes = append(f.nodes, node)
		f.byName[m.Name] = node
	}
	for i, node := range f.nodes {
		f.schedule(time.Duration(i)*readInterval/time.Duration(n), func() { f.read(node) })
		f.schedule(0, func() { f.tick(node) })
	}
	return f
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.queue.Add(d, run)
}

// read polls the table service on behalf of a node. A read without an answer
// is detected only at its timeout.
func (f *fleet) read(n *simNode) {
	f.schedule(f.now+readInterval, func() { f.read(n) })
	if n.crashed {
		return
	}
	if !n.tableReachable {
		f.schedule(f.now+readTimeout, func() {
			n.local.ReadFailed = !n.tableReachable
			n.agent.SetLocal(n.local)
		})
		return
	}
	n.local.ReadFailed = false
	n.local.LastReadStart = f.clock()
	f.setInForce(n, f.version)
	f.addProof(n, Proof{At: f.clock(), Version: f.version})
}

// setInForce puts a version in force on a node.
func (f *fleet) setInForce(n *simNode, version uint64) {
	n.local.InForce = max(n.local.InForce, version)
	n.local.Newest = max(n.local.Newest, version)
	n.agent.SetLocal(n.local)
}

func (f *fleet) addProof(n *simNode, p Proof) {
	if !p.At.After(n.proof.At) {
		return
	}
	n.proof = p
	if n.local.InForce >= p.Version && !n.local.Ready {
		n.local.Ready = true
		n.agent.SetLocal(n.local)
	}
}

// restart replaces the process of a node with one without any state.
func (f *fleet) restart(n *simNode) {
	old := n.agent
	n.crashed = false
	n.agent = NewAgent(n.name, 1000+uint64(f.now/time.Millisecond), f.clock())
	n.agent.SetMembers(old.roster, old.neighbours, old.roots)
	n.local, n.proof, n.confirmed = LocalState{}, Proof{}, 0
	n.agent.SetLocal(n.local)
	f.tick(n)
}

// fresh reports whether the node may accept new work.
func (f *fleet) fresh(n *simNode) bool {
	return n.local.InForce >= n.proof.Version && f.clock().Sub(n.proof.At) < freshLimit
}

// tick runs the agent of a node and sets its timer.
func (f *fleet) tick(n *simNode) {
	if n.crashed {
		return
	}
	effects, next := n.agent.Tick(f.clock())
	f.apply(n, effects)
	at := next.Sub(epoch)
	if n.timerAt > f.now && n.timerAt <= at {
		return
	}
	n.timerAt = at
	f.schedule(at, func() {
		if n.timerAt == at {
			f.tick(n)
		}
	})
}

func (f *fleet) apply(n *simNode, e Effects) {
	for _, p := range e.Proofs {
		f.addProof(n, p)
	}
	for _, c := range e.Confirmations {
		if c.Holders.Len(len(c.Roster.Names)) >= c.Roster.AcceptanceQuorum() {
			n.confirmed = max(n.confirmed, c.Version)
		}
	}
	for _, out := range e.Send {
		f.send(n, out)
	}
	if e.FetchRoster != 0 {
		if r, ok := f.byName[e.FetchFrom].agent.Roster(e.FetchRoster); ok {
			n.agent.AddRoster(r)
		}
	}
}

func (f *fleet) send(n *simNode, out Outgoing) {
	n.sent++
	n.bytes += peertest.PacketBytes + size(out)
	to := f.byName[out.To]
	if to == nil || to.crashed || to.group != n.group {
		return
	}
	delay := nearLatency
	if to.zone/zonesPerRegion != n.zone/zonesPerRegion {
		delay = farLatency
	}
	f.schedule(f.now+delay, func() {
		if to.crashed || to.group != n.group {
			return
		}
		if out.Round != nil {
			f.apply(to, to.agent.OnRound(f.clock(), n.name, *out.Round))
		} else {
			to.agent.OnEcho(f.clock(), *out.Echo)
		}
		f.tick(to)
	})
}

func size(out Outgoing) int {
	var data []byte
	if out.Round != nil {
		data, _ = cbor.Marshal(out.Round)
	} else {
		data, _ = cbor.Marshal(out.Echo)
	}
	return len(data)
}

// run advances the simulation and records every 100 ms which nodes are stale.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	f.schedule(f.now, func() { f.observe(end) })
	for {
		if at, ok := f.queue.Next(); !ok || at > end {
			break
		}
		var run func()
		f.now, run = f.queue.Pop()
		run()
	}
	f.now = end
}

func (f *fleet) observe(end time.Duration) {
	for _, n := range f.nodes {
		if !n.crashed && !f.fresh(n) {
			n.staleAt = append(n.staleAt, f.now)
		}
	}
	const step = 100 * time.Millisecond
	if f.now+step <= end {
		f.schedule(f.now+step, func() { f.observe(end) })
	}
}

// takeStaleCount returns how many nodes were stale at any time since the last
// call.
func (f *fleet) takeStaleCount() int {
	count := 0
	for _, n := range f.nodes {
		if len(n.staleAt) > 0 {
			count++
		}
		n.staleAt = nil
	}
	return count
}

// takeTraffic returns the messages and bytes sent per node and second since
// the last call, and the bytes per second of the busiest node.
func (f *fleet) takeTraffic(d time.Duration) (messages, bytes, most float64) {
	var sent, total, high int
	for _, n := range f.nodes {
		sent += n.sent
		total += n.bytes
		high = max(high, n.bytes)
		n.sent, n.bytes = 0, 0
	}
	per := d.Seconds() * float64(len(f.nodes))
	return float64(sent) / per, float64(total) / per, float64(high) / d.Seconds()
}

func (f *fleet) forEach(set func(*simNode)) {
	for _, n := range f.nodes {
		set(n)
	}
}
