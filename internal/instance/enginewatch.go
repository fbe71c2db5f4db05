package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	// engineWatchInterval is the time between two reads of one engine's load
	// and cache events.
	engineWatchInterval = 500 * time.Millisecond
	// engineWatchTimeout bounds one read.
	engineWatchTimeout = 400 * time.Millisecond
	// engineWatchBytes bounds one answer.
	engineWatchBytes = 1 << 20
	// engineWatchParallel bounds the reads under way at once.
	engineWatchParallel = 32
)

// engineSink takes what engines report.
type engineSink interface {
	LoadReport(server string, r engineapi.LoadReport)
	CacheEvents(server string, e engineapi.CacheEvents)
}

// engineWatch reads load reports and cache events of the engines.
type engineWatch struct {
	sink   engineSink
	client *http.Client
	slots  chan struct{}

	mu      sync.Mutex
	engines map[string]*watchedEngine
}

// watchedEngine is one engine and the position in its cache events.
type watchedEngine struct {
	name, address string
	epoch, after  uint64
	busy          bool
}

func newEngineWatch(sink engineSink) *engineWatch {
	return &engineWatch{
		sink:    sink,
		client:  &http.Client{Timeout: engineWatchTimeout},
		slots:   make(chan struct{}, engineWatchParallel),
		engines: make(map[string]*watchedEngine),
	}
}

// setServers replaces the engines to watch; plain services report nothing.
func (w *engineWatch) setServers(list []platform.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, s := range list {
		if s.Model == "" || s.State == platform.ServerGone || s.State == platform.ServerStarting {
			continue
		}
		present[s.Name] = true
		if e := w.engines[s.Name]; e == nil || e.address != s.Address {
			w.engines[s.Name] = &watchedEngine{name: s.Name, address: s.Address}
		}
	}
	for name := range w.engines {
		if !present[name] {
			delete(w.engines, name)
		}
	}
}

// poll starts a read of every engine that has none under way.
func (w *engineWatch) poll(ctx context.Context) {
	for _, e := range w.idle() {
		go w.read(ctx, e)
	}
}

func (w *engineWatch) idle() []*watchedEngine {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*watchedEngine, 0, len(w.engines))
	for _, e := range w.engines {
		if !e.busy {
			e.busy = true
			list = append(list, e)
		}
	}
	return list
}

func (w *engineWatch) read(ctx context.Context, e *watchedEngine) {
	w.slots <- struct{}{}
	defer func() {
		<-w.slots
		w.mu.Lock()
		e.busy = false
		w.mu.Unlock()
	}()
	var load engineapi.LoadReport
	if w.get(ctx, e.address, engineapi.LoadPath, &load) != nil {
		return
	}
	w.sink.LoadReport(e.name, load)
	var cache engineapi.CacheEvents
	path := engineapi.CacheEventsPath + "?after=" + strconv.FormatUint(e.after, 10)
	if w.get(ctx, e.address, path, &cache) != nil {
		return
	}
	w.sink.CacheEvents(e.name, cache)
	e.advance(cache)
}

// advance remembers the position after a batch. A restart begins anew.
func (e *watchedEngine) advance(batch engineapi.CacheEvents) {
	if batch.Epoch != e.epoch {
		e.epoch, e.after = batch.Epoch, 0
	}
	if n := len(batch.Events); n > 0 {
		e.after = batch.Events[n-1].Sequence
	}
}

func (w *engineWatch) get(ctx context.Context, address, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	answer, err := w.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("engine at %s answered %s with status %d", address, path, answer.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(answer.Body, engineWatchBytes)).Decode(into)
}
