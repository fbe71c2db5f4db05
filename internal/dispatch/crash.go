package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// epochs holds the highest restart epoch seen of each backend server. It is
// safe for concurrent use.
type epochs struct {
	mu       sync.Mutex
	byServer map[string]uint64
}

// get returns the server's epoch; 0 if none was seen.
func (e *epochs) get(server string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byServer[server]
}

func (e *epochs) update(server string, epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byServer == nil {
		e.byServer = make(map[string]uint64)
	}
	e.byServer[server] = max(e.byServer[server], epoch)
}

// probeResult is the result of probing a server over a new connection.
type probeResult struct {
	began     time.Time
	reachable bool
	epoch     uint64 // 0 if unknown or not reported
}

// incarnation is the run of a server's process that an attempt was sent to.
type incarnation struct {
	epoch uint64 // 0 if unknown
	exact bool   // the epoch is that of the attempt's answer; else the process may be newer
}

// hasCrashed distinguishes a crashed server from a broken connection: it
// fetches the server's epoch over a new connection. An unreachable server
// counts as crashed. An unknown earlier epoch, 0, counts as older.
func (d *Dispatcher) hasCrashed(target traffic.Target, i incarnation, plain bool) bool {
	probe := d.probeAfter(time.Now(), target, plain)
	switch {
	case !probe.reachable:
		return true
	case probe.epoch == 0:
		return false
	}
	return probe.epoch > i.epoch || i.exact && probe.epoch != i.epoch
}

// probeAfter probes the server. Concurrent calls share a probe that began after all of
// them; one that began earlier may have found the server before it crashed.
func (d *Dispatcher) probeAfter(earliest time.Time, target traffic.Target, plain bool) probeResult {
	for {
		answer, _, _ := d.probes.Do(target.Address, func() (any, error) {
			began := time.Now()
			result := d.probe(target, plain)
			result.began = began
			return result, nil
		})
		if probe := answer.(probeResult); !probe.began.Before(earliest) {
			return probe
		}
	}
}

func (d *Dispatcher) probe(target traffic.Target, plain bool) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), d.options.ProbeTimeout)
	defer cancel()
	if plain {
		return probeResult{reachable: isReachable(ctx, target.Address)}
	}
	var report engineapi.LoadReport
	err := getJSON(ctx, target.Address, engineapi.LoadPath, &report)
	if err != nil {
		return probeResult{reachable: !errors.Is(err, syscall.ECONNREFUSED)}
	}
	d.epochs.update(target.Server, report.Epoch)
	return probeResult{reachable: true, epoch: report.Epoch}
}

// getJSON fetches and decodes a document of a backend server over a new
// connection.
func getJSON(ctx context.Context, address, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	client := httpcheck.Transport{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of %s answered status %d", path, address, response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxProbeBytes)).Decode(answer)
}

const maxProbeBytes = 64 << 10

func isReachable(ctx context.Context, address string) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
