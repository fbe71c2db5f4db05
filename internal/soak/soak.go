package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Site provides the stand-ins that the instances connect to, and the callers. All
// methods are safe for concurrent use.
type Site interface {
	// Settings writes the settings file of an instance that connects to the store at
	// the address store. It returns the program's arguments and environment.
	Settings(name, dir, store string) (args, env []string, err error)
	// Restarting is called before an instance starts again.
	Restarting(name string) error
	// StoreAddress returns the address that the store listens on.
	StoreAddress() string
	// SetStoreDown makes the store unavailable, or available again.
	SetStoreDown(down bool)
	// CompactStore discards the store's change history, so that its readers must read
	// whole tables again.
	CompactStore()
	// RestoreStore brings the store back from a copy of an age. What was written since is
	// gone, and the operator and the backend servers write again soon.
	RestoreStore(age time.Duration)
	// AddServer registers a backend server at the address of the proxy that wrap returns.
	AddServer(wrap func(address string) (*Proxy, error)) error
	// SetDraining marks a backend server as draining, or as ready again.
	SetDraining(server int, draining bool)
	// SetLeaving makes a backend server state that it leaves, or replaces it by another
	// one at the same address.
	SetLeaving(server int, leaving bool)
	// SetPausing makes a backend server refuse requests and ask for pauses, or accept them
	// again.
	SetPausing(server int, pausing bool)
	// SetLimited makes a backend server name a rate limit, or none again.
	SetLimited(server int, limited bool)
	// Crash ends the process of a backend server, and all its connections. The server comes
	// back with Return.
	Crash(server int)
	// StopAfterAnswer makes a backend server stop as planned right after its next whole
	// answer without framing. It comes back with Return.
	StopAfterAnswer(server int)
	// Return starts the process of a backend server again, under its id or a new one. It
	// does nothing if the process has not ended.
	Return(server int, newID bool)
	// WithdrawKey withdraws one more API key. It does nothing if only one is left.
	WithdrawKey()
	// Call sends one request to an instance and records its outcome with the checker.
	Call(ctx context.Context, client int, instance string)
	// SetVersion sets the software version with which a backend server starts next.
	SetVersion(server, version int)
	// Close stops the stand-ins.
	Close()
}

// Options configure a run.
type Options struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	Servers   int
	Clients   int
	// Program is the path of the router's binary.
	Program string
	// Dir is the directory for settings files and logs.
	Dir string
	// Out receives one line per fault. If nil, nothing is written.
	Out io.Writer
	// OnFaultsOver is called once when all faults are over. If nil, it is not called.
	OnFaultsOver func()
	// Versions adds the faults of VersionPlan, and callers that take streams up again.
	Versions bool
	// Plan holds the faults. If nil, the seed decides.
	Plan []Fault
	// Checker receives the stops and faults of instances. Required.
	Checker *Checker
}

// run is the state of one run.
type run struct {
	options   Options
	site      Site
	processes []*Process
	stores    []*Proxy // proxy to the store, by instance
	servers   []*Proxy
}

// Run executes the plan of one seed. It returns after o.Length, or earlier if ctx is done.
func Run(ctx context.Context, o Options, s Site) error {
	r := &run{options: o, site: s}
	defer r.close()
	if err := r.provision(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	var tasks sync.WaitGroup
	for client := range o.Clients {
		tasks.Go(func() { r.sendRequests(ctx, client) })
	}
	for _, f := range o.plan() {
		tasks.Go(func() { r.injectFault(ctx, f) })
	}
	tasks.Go(func() {
		if sleep(ctx, o.Length-quietEnd/2) && o.OnFaultsOver != nil {
			o.OnFaultsOver()
		}
	})
	tasks.Wait()
	return nil
}

// plan returns the faults of a run.
func (o Options) plan() []Fault {
	if o.Plan != nil {
		return o.Plan
	}
	plan := NewPlan(o.Seed, o.Length, o.Instances, o.Servers)
	if o.Versions {
		plan = append(plan, VersionPlan(o.Seed, o.Length, o.Servers)...)
	}
	return plan
}

func (r *run) provision() error {
	for range r.options.Servers {
		err := r.site.AddServer(func(address string) (*Proxy, error) {
			p, err := NewProxy(address)
			if err != nil {
				return nil, err
			}
			r.servers = append(r.servers, p)
			return p, nil
		})
		if err != nil {
			return err
		}
	}
	for i := range r.options.Instances {
		if err := r.addInstance(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) addInstance(i int) error {
	p, err := NewProxy(r.site.StoreAddress())
	if err != nil {
		return err
	}
	r.stores = append(r.stores, p)
	name := fmt.Sprintf("instance-%d", i)
	args, env, err := r.site.Settings(name, r.options.Dir, p.Address())
	if err != nil {
		return err
	}
	log := filepath.Join(r.options.Dir, name+".log")
	process := NewProcess(name, r.options.Program, args, env, log)
	r.processes = append(r.processes, process)
	return process.Start()
}

// sendRequests sends requests one after the other to the instances in turn, until ctx
// is done.
func (r *run) sendRequests(ctx context.Context, client int) {
	for n := client; ctx.Err() == nil; n++ {
		r.site.Call(ctx, client, r.processes[n%len(r.processes)].Name)
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// injectFault waits for the start of a fault, injects it and ends it.
func (r *run) injectFault(ctx context.Context, f Fault) {
	if !sleep(ctx, f.At) {
		return
	}
	if r.options.Out != nil {
		fmt.Fprintln(r.options.Out, f)
	}
	process := r.processes[f.Target%len(r.processes)]
	storeLink := r.stores[f.Target%len(r.stores)]
	server := f.Target % len(r.servers)
	serverLink := r.servers[server]
	apply := func(begin, end func()) {
		begin()
		sleep(ctx, f.Duration)
		end()
	}
	from := time.Now()
	defer func() { r.reportFault(f.Kind, process.Name, server, from) }()
	switch f.Kind {
	case KillInstance:
		apply(func() { process.Signal(syscall.SIGKILL) }, func() { r.restart(process) })
	case StopInstance:
		process.Signal(syscall.SIGTERM)
		process.Wait(stopTimeout)
		r.restart(process)
	case ReloadSettings:
		if process.RunningFor(minReloadUptime) {
			process.Signal(syscall.SIGHUP)
		}
	case PauseInstance:
		apply(func() { process.Signal(syscall.SIGSTOP) }, func() { process.Signal(syscall.SIGCONT) })
	case StoreSilent:
		apply(func() { storeLink.SetBlackhole(true) }, func() { storeLink.SetBlackhole(false) })
	case StoreOneWay:
		apply(func() { storeLink.SetDropResponses(true) }, func() { storeLink.SetDropResponses(false) })
	case StoreSlow:
		apply(func() { storeLink.SetDelay(slowLinkDelay) }, func() { storeLink.SetDelay(0) })
	case StoreHeld:
		apply(func() { storeLink.SetHold(true) }, func() { storeLink.SetHold(false) })
	case StoreReset:
		storeLink.Reset()
	case StoreDown:
		apply(func() { r.site.SetStoreDown(true) }, func() { r.site.SetStoreDown(false) })
	case StoreCompact:
		r.site.CompactStore()
	case StoreRestored:
		r.restoreStore(ctx, f.Restores)
	case ServerReset:
		serverLink.Reset()
	case ServerSilent:
		apply(func() { serverLink.SetBlackhole(true) }, func() { serverLink.SetBlackhole(false) })
	case ServerSlow:
		apply(func() { serverLink.SetDelay(slowLinkDelay) }, func() { serverLink.SetDelay(0) })
	case ServerHeld:
		apply(func() { serverLink.SetHold(true) }, func() { serverLink.SetHold(false) })
	case WithdrawKey:
		r.site.WithdrawKey()
	case ServerLeaves:
		apply(func() { r.site.SetLeaving(server, true) }, func() { r.site.SetLeaving(server, false) })
	case ServerPauses:
		apply(func() { r.site.SetPausing(server, true) }, func() { r.site.SetPausing(server, false) })
	case ServerLimits:
		f.Duration += minLimitTime
		apply(func() { r.site.SetLimited(server, true) }, func() { r.site.SetLimited(server, false) })
	case ServerCrash, ServerReplaced:
		f.Duration /= downtimeFraction
		apply(func() { r.site.Crash(server) }, func() { r.site.Return(server, f.Kind == ServerReplaced) })
	case ServerStops:
		apply(func() { r.site.StopAfterAnswer(server) }, func() { r.site.Return(server, true) })
	case ServersReleased:
		r.release(ctx, *f.Release)
	case AllKilled:
		r.killAll(ctx, f.Duration)
	case ServerDraining:
		apply(func() { r.site.SetDraining(server, true) }, func() { r.site.SetDraining(server, false) })
	}
}

// reportFault reports to the checker a stop, or a fault that may cut off responses,
// that began at from and has just ended.
func (r *run) reportFault(k FaultKind, instance string, server int, from time.Time) {
	now := time.Now()
	switch k {
	case AllKilled:
		for _, p := range r.processes {
			r.options.Checker.RecordFault(p.Name, from, now.Add(faultAftermath))
		}
	case ServerLeaves, ServerPauses, ServerLimits, ServerCrash, ServerReplaced, ServerStops, ServerDraining:
		r.options.Checker.RecordServerFault(server, from, now)
	case StopInstance:
		r.options.Checker.RecordStop(instance, from, now)
	case KillInstance, PauseInstance:
		r.options.Checker.RecordFault(instance, from, now.Add(faultAftermath))
	case ServerReset, ServerSilent, ServerSlow, ServerHeld:
		r.options.Checker.RecordFault("", from, now.Add(faultAftermath))
		r.options.Checker.RecordLinkFault(server, from, now.Add(linkAftermath))
		r.options.Checker.RecordServerFault(server, from, now)
	case StoreSilent, StoreOneWay, StoreSlow, StoreReset, StoreHeld:
		r.options.Checker.RecordStale(instance, from, now.Add(faultAftermath))
	case StoreDown:
		r.options.Checker.RecordStale("", from, now.Add(contactTime))
	case StoreCompact:
		r.options.Checker.RecordStale("", from, now.Add(faultAftermath))
	case StoreRestored:
		r.options.Checker.RecordStale("", from, now.Add(faultAftermath+MaxRewriteDelay))
	}
}

// restoreStore makes the store come back from copies of itself, one after the other.
func (r *run) restoreStore(ctx context.Context, restores []Restore) {
	for _, c := range restores {
		r.site.SetStoreDown(true)
		sleep(ctx, c.Away)
		r.options.Checker.RecordRestored()
		r.site.RestoreStore(c.Away + c.Age)
		r.site.SetStoreDown(false)
		sleep(ctx, c.Then)
	}
}

// MaxRewriteDelay is the time after the store came back from a copy within which the operator and
// the backend servers write again.
const MaxRewriteDelay = 2 * time.Second

// contactTime is the time after the store was down within which an instance may not be in touch
// with it: a call that it held is given up only by a timeout.
const contactTime = 3 * time.Second

// faultAftermath is the time after the end of a fault in server it may still cut off
// responses.
const faultAftermath = 2 * time.Second

// linkAftermath is the same for a fault of the link to a backend server, whose
// connections end with the fault.
const linkAftermath = 200 * time.Millisecond

const (
	stopTimeout     = 9 * time.Second
	minReloadUptime = 3 * time.Second // a process that has just started does not handle SIGHUP yet
	slowLinkDelay   = 150 * time.Millisecond
	// downtimeFraction divides the time of a fault to get the downtime of a crashed server.
	downtimeFraction = 4
	minLimitTime     = 6 * time.Second // a limit binds only some seconds after it was named
)

// restart starts a process again after it has exited.
func (r *run) restart(p *Process) {
	p.Signal(syscall.SIGCONT) // a process under SIGSTOP does not handle SIGTERM
	p.Wait(time.Second)
	if err := r.site.Restarting(p.Name); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := p.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// close stops the processes and the proxies.
func (r *run) close() {
	for _, p := range r.processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range r.processes {
		if !p.Wait(stopTimeout) {
			p.Signal(syscall.SIGKILL)
			p.Wait(time.Second)
		}
	}
	for _, p := range append(r.stores, r.servers...) {
		p.Close()
	}
}
