package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one instance in its own process. It is safe for concurrent use.
type Process struct {
	Name    string
	program string
	args    []string
	env     []string
	log     string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// NewProcess returns a process that Start runs. Its output is appended to the file log.
func NewProcess(name, program string, args, env []string, log string) *Process {
	return &Process{Name: name, program: program, args: args, env: env, log: log}
}

// Start starts the process. It does nothing if the process is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.Name, err)
	}
	command := exec.Command(p.program, p.args...)
	command.Env = p.env
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.command, p.exited, p.started = command, exited, time.Now()
	go func() {
		_ = command.Wait() // the log holds the cause of the exit
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (p *Process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// RunningFor reports whether the process has been running for at least the given
// time. A process that has just started does not handle signals yet.
func (p *Process) RunningFor(uptime time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running() && time.Since(p.started) >= uptime
}

// Signal sends a signal to the process. It does nothing if the process is not running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		_ = p.command.Process.Signal(s) // fails if the process exits at the same time
	}
}

// Wait waits until the process exits. It returns false if the process still runs after
// timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
