package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment: sado-retorno's figures, fewer machines.
const (
	heartbeat = 1200 * time.Millisecond
	host      = "balcao.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
	appName   = "balcao-retornos"
	depotName = "arquivo-depositos"
	modelName = "modelo-frota"
	zoneName  = "setubal-a"
	memoryMB  = 134
	appSlots  = 6
	// modelSlots are the requests that a model server runs at once.
	modelSlots = 64
)

// world is one deployment on loopback: the store, the provider, servers and instances.
type world struct {
	store     *store
	storeAddr string
	provider  string
	dir       string
	began     time.Time
	done      chan struct{}
	servers   []*server
	instances []*instance
	oneCore   bool  // each instance has one core, and its log is read and counted
	routes    []any // of the configuration, beside those of all cases

	mu  sync.Mutex
	out *os.File
}

// instance is one process of the system.
type instance struct {
	name, ip, ingress, readiness string
	process                      *exec.Cmd
	settings                     string // path of its settings file
	log                          *os.File
	core                         int     // on which it runs, if each instance has one core
	logged                       counter // of its log then
}

func newWorld(recordPath string) (*world, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-stand2-")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	w := &world{store: newStore(), dir: dir, began: time.Now(), done: make(chan struct{}), out: out}
	if w.storeAddr, err = serveOn(w.store); err != nil {
		return nil, err
	}
	w.provider, err = serveOn(http.HandlerFunc(w.serveProvider))
	return w, err
}

// serveOn serves a handler on a free port of loopback.
func serveOn(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

func (w *world) serveProvider(rw http.ResponseWriter, r *http.Request) {
	w.record("provider gets %s from %s under token %s: %s", r.URL.Path, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"), strings.TrimSpace(readBody(r)))
	rw.WriteHeader(http.StatusOK)
}

// record writes one line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// putConfig writes the operator's configuration. The requests below /recolha/dep/ belong to a
// second service.
func (w *world) putConfig(version int) error {
	return w.putConfigOf(version, []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}})
}

// putTenants takes away the tenant or, with TROUBLE=tenant, its keys.
func (w *world) putTenants(version int) error {
	if os.Getenv("TROUBLE") == "tenant" {
		return w.putConfigOf(version, []any{map[string]any{"name": tenant, "api_keys": []string{}, "priority": 1}})
	}
	return w.putConfigOf(version, []any{})
}

func (w *world) putConfigOf(version int, tenants []any) error {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": "r-" + name, "hostname": host, "prefix": "/" + name + "/", "route_type": kind, "timeout_ms": 4000,
			"target_latency_ms": 300, "priority": 2, "backend": service, "max_attempts": 2, "anonymous": false,
		}
	}
	stream := map[string]any{
		"name": "r-rotulo", "hostname": host, "prefix": "/rotulo/", "route_type": "streaming", "timeout_ms": 12000, "target_latency_ms": 1200,
		"target_itl_ms": 150, "priority": 0, "backend": modelName, "max_attempts": 2, "anonymous": false, "stream_resume": true,
	}
	model := map[string]any{"name": modelName, "max_connections": 360, "runtime": map[string]any{"capacity": modelSlots, "kv_capacity": 378689}}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "max_connections": 100, "health_check_path": "/healthz"}
	}
	return w.store.put("op", "config", map[string]any{
		"version":  version,
		"routes":   append([]any{route("estado", "idempotent", appName), route("recolha", "non_idempotent", appName), route("recolha/dep", "non_idempotent", depotName), stream}, w.routes...),
		"backends": []any{service(appName), service(depotName), model},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	})
}

// freePort returns a port of the address that is free now.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	return port, err
}

// loopback returns the address of an instance. Each run has its own, since the port for metrics
// is fixed.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, pid/200%250, n+1)
}

// start starts one instance with the command of the deploy file. The working folder is the
// repository.
func (w *world) start(name, ip string) error {
	var ports [3]string
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return err
		}
		ports[i] = port
	}
	i := &instance{name: name, ip: ip, ingress: net.JoinHostPort(ip, ports[0]), readiness: net.JoinHostPort(ip, ports[1]), core: len(w.instances)}
	i.settings = filepath.Join(w.dir, name+".conf")
	if err := os.WriteFile(i.settings, []byte(w.settings(i, ports[2])), 0o600); err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	var err error
	if i.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return fmt.Errorf("create the log: %w", err)
	}
	if err := w.launch(i); err != nil {
		return err
	}
	w.record("instance %s started, callers at %s", name, i.ingress)
	w.instances = append(w.instances, i)
	return nil
}

// launch starts the process of an instance.
func (w *world) launch(i *instance) error {
	i.process = exec.Command("target/hawthornwick", "platform")
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C.UTF-8", "HAWTHORNWICK_NODE_FILE=" + i.settings}
	i.process.Stdout, i.process.Stderr = i.log, i.log
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	start := i.process.Start
	if w.oneCore {
		i.process.Stdout, i.process.Stderr = &i.logged, &i.logged
		start = func() error { return onCore(i.core, i.process.Start) }
	}
	if err := start(); err != nil {
		return fmt.Errorf("start instance %s: %w", i.name, err)
	}
	return nil
}

func (w *world) settings(i *instance, peers string) string {
	return strings.Join([]string{
		"node_name=" + i.name, "role=router", "machine_class=edge", "serves=edge", "ip=" + i.ip, "zone=" + zoneName, "region=pt-sul",
		"zones." + zoneName + "=pt-sul", "listen.ingress=" + i.ingress, "listen.readiness=" + i.readiness,
		"port_range=" + peers + "," + peers, "bootstrap=true", "limits.cpu_quota=0.4", "limits.cpu_cores=1",
		fmt.Sprintf("limits.memory_mb=%d", memoryMB), "limits.file_descriptors=4100", "heartbeat_ms=1200",
		"timing_bounds.contact_ms=3000", "timing_bounds.drain_timeout_ms=2000", "timing_bounds.grace_period_s=8",
		"timing_bounds.propagation_ms=2000", "timing_bounds.fail_closed=true", "timing_bounds.revocation_ms=5000",
		"timing_bounds.retry_budget_ratio=0.2", "timing_bounds.retry_window_s=10", "timing_bounds.budget_slack=54",
		"timing_bounds.fencing_enforced=false", "timing_bounds.lease_duration_ms=3000", "timing_bounds.unfreeze_slack_ms=300",
		"timing_bounds.usage_window_s=5", "timing_bounds.usage_off=0.05", "timing_bounds.report_delay_s=10",
		"timing_bounds.warmup_overshoot=1.5", "timing_bounds.warmup_tolerance=5", "timing_bounds.evacuation_ms=5000",
		"platform.address=" + w.storeAddr, "platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.max_row_bytes=65536", "provider.address=" + w.provider, "provider.assignments=metering,autoscaler",
	}, "\n") + "\n"
}

var errNotReady = errors.New("the instances did not become ready")

// awaitReady waits until all instances answer readiness checks with 200.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range w.instances {
			if i.ready() {
				ready++
			}
		}
		if ready == len(w.instances) {
			w.record("all instances are ready")
			return nil
		}
	}
	return errNotReady
}

// ready asks as the platform does: 200 within a second.
func (i *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.readiness+"/-/readyz", nil)
	if err != nil {
		return false
	}
	r.Close = true
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// running reports whether the process has not ended.
func (i *instance) running() bool { return i.process.Process.Signal(syscall.Signal(0)) == nil }

// close ends all processes and removes the temporary folder. With KEEP=1 the folder stays.
func (w *world) close() {
	close(w.done)
	for _, i := range w.instances {
		_ = i.process.Process.Kill()
		_ = i.process.Wait()
		_ = i.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.out.Close()
}

// counter counts what is written to it.
type counter struct{ bytes atomic.Int64 }

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}
