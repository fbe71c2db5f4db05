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

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// epochs remembers the newest restart epoch that each backend server showed.
type epochs struct {
	mu       sync.Mutex
	byServer map[string]uint64
}

// known returns 0 for a server that showed none.
func (e *epochs) known(server string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byServer[server]
}

func (e *epochs) note(server string, epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byServer == nil {
		e.byServer = make(map[string]uint64)
	}
	e.byServer[server] = max(e.byServer[server], epoch)
}

// probeResult is what a fresh connection showed about a server.
type probeResult struct {
	reachable bool
	epoch     uint64 // 0 if the server bears none
}

// crashed tells a dead server from a dead connection: it asks the server for
// its epoch over a fresh connection. An unknown earlier epoch, 0, counts as older.
func (d *Dispatcher) crashed(target traffic.Target, epoch uint64, plain bool) bool {
	answer, _, _ := d.probes.Do(target.Address, func() (any, error) {
		return d.probe(target, plain), nil
	})
	probe := answer.(probeResult)
	switch {
	case !probe.reachable:
		return true
	case probe.epoch == 0:
		return false
	}
	return probe.epoch > epoch
}

func (d *Dispatcher) probe(target traffic.Target, plain bool) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), d.options.ProbeTimeout)
	defer cancel()
	if plain {
		return probeResult{reachable: reachable(ctx, target.Address)}
	}
	var report engineapi.LoadReport
	err := getJSON(ctx, target.Address, engineapi.LoadPath, &report)
	if err != nil {
		return probeResult{reachable: !errors.Is(err, syscall.ECONNREFUSED)}
	}
	d.epochs.note(target.Server, report.Epoch)
	return probeResult{reachable: true, epoch: report.Epoch}
}

// getJSON asks a backend server over a fresh connection.
func getJSON(ctx context.Context, address, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	client := http.Transport{DisableKeepAlives: true}
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

func reachable(ctx context.Context, address string) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
