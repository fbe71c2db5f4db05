package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the project's program, as the deploy file builds it.
const program = "target/hawthornwick"

// instance is one process of the project.
type instance struct {
	name, zone, ip string
	ingress, ready string
	log, settings  string
	toStore        *link
	toProvider     *link
	command        *exec.Cmd
	exited         chan struct{}
}

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newInstance writes the settings file of an instance and starts it. number makes its
// loopback address.
func newInstance(number int, zone, dir string, zones []string, p *platform) (*instance, error) {
	i := &instance{
		name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone,
		ip: fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%200, 1+os.Getpid()/200%200, number),
	}
	i.log = filepath.Join(dir, i.name+".log")
	var err error
	if i.toStore, err = newLink(p.store.Addr().String()); err != nil {
		return nil, err
	}
	if i.toProvider, err = newLink(p.provider.Addr().String()); err != nil {
		return nil, err
	}
	if i.ingress, err = freeAddress(i.ip); err != nil {
		return nil, err
	}
	if i.ready, err = freeAddress(i.ip); err != nil {
		return nil, err
	}
	peers, err := freeAddress(i.ip)
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(peers)
	lines := []string{
		"node_name=" + i.name, "role=router", "machine_class=edge", "serves=edge", "ip=" + i.ip, "zone=" + zone, "region=viti-levu",
		"listen.ingress=" + i.ingress, "listen.readiness=" + i.ready, "port_range=" + port + "," + port,
		"bootstrap=true", "in_tolerance=false", "limits.cpu_quota=0.4", "limits.cpu_cores=1", "limits.memory_mb=134",
		"limits.file_descriptors=4100", "limits.bandwidth_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry_point=virtual_ip",
		"heartbeat_ms=1200", "fault_tolerance.nodes=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"timing_bounds.seed_staleness_s=3", "timing_bounds.address_reuse_s=2", "timing_bounds.contact_ms=3000",
		"timing_bounds.ack_timeout_ms=4000", "timing_bounds.sync_timeout_s=4", "timing_bounds.drain_timeout_ms=2000",
		"timing_bounds.grace_period_s=8", "timing_bounds.loss_slack_ms=200", "timing_bounds.propagation_ms=2000",
		"timing_bounds.downgrade_slack_ms=250", "timing_bounds.max_skew_ms=5000", "timing_bounds.fail_closed=true",
		"timing_bounds.revocation_ms=5000", "timing_bounds.retry_budget_ratio=0.2", "timing_bounds.retry_window_s=10",
		"timing_bounds.budget_slack=54", "timing_bounds.fencing_enforced=false", "timing_bounds.lease_duration_ms=3000",
		"timing_bounds.unfreeze_slack_ms=300", "timing_bounds.usage_window_s=5", "timing_bounds.usage_off=0.05",
		"timing_bounds.report_delay_s=10", "timing_bounds.warmup_overshoot=1.5", "timing_bounds.warmup_tolerance=5",
		"timing_bounds.evacuation_ms=5000", "timing_bounds.recovery_s=12", "timing_bounds.delivery_ms=120",
		"platform.address=" + i.toStore.address(), "platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.max_row_bytes=65536", "platform.retention_s=20", "provider.address=" + i.toProvider.address(),
		"provider.assignments=metering,autoscaler", "provider.assign_per_s=50.0",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=viti-levu")
	}
	i.settings = filepath.Join(dir, i.name+".conf")
	if err := os.WriteFile(i.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	return i, i.start()
}

func (i *instance) start() error {
	out, err := os.OpenFile(i.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command(program, "platform")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "HAWTHORNWICK_NODE_FILE=" + i.settings}
	i.command.Stdout, i.command.Stderr = out, out
	if err := i.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", program, err)
	}
	i.exited = make(chan struct{})
	go func() {
		_ = i.command.Wait()
		_ = out.Close()
		close(i.exited)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) { _ = i.command.Process.Signal(s) }

func (i *instance) stop() {
	i.signal(syscall.SIGKILL)
	<-i.exited
}

// isReady asks the instance whether it is ready.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + i.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
