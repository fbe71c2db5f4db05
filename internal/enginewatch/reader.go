package enginewatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	readTimeout      = 400 * time.Millisecond // of one request to an engine
	maxAnswerBytes   = 1 << 20
	maxIdleConns     = 512
	idleConnLifetime = 90 * time.Second
)

// reader reads engines over HTTP. A request that gets no answer in time ends
// its connection, so the next one goes over a fresh one.
type reader struct {
	client *http.Client
	now    func() time.Time
}

func newReader(now func() time.Time) *reader {
	client := &http.Client{
		Timeout: readTimeout,
		Transport: &http.Transport{
			DisableCompression:  true,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleConnLifetime,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &reader{client: client, now: now}
}

// close ends the kept connections.
func (r *reader) close() { r.client.CloseIdleConnections() }

// read reads one engine. A failed read of the cache events leaves the load
// report valid.
func (r *reader) read(ctx context.Context, what read) (readResult, error) {
	var result readResult
	asked := r.now()
	header, err := get(ctx, r.client, what.server.address, engineapi.LoadPath, &result.load)
	if err != nil {
		result.failed = true
		return result, err
	}
	arrived := r.now()
	result.age = ageOf(arrived, arrived.Sub(asked), result.load.UnixMillis, header)
	if !what.cache {
		return result, nil
	}
	path := engineapi.CacheEventsPath + "?after=" + strconv.FormatUint(what.after, 10)
	_, err = get(ctx, r.client, what.server.address, path, &result.cache)
	result.hasCache = err == nil
	return result, err
}

// get reads one JSON answer and returns its header.
func get(ctx context.Context, client *http.Client, address, path string, into any) (http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("User-Agent", "") // saves its bytes
	answer, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("engine at %s answered %s with status %d", address, path, answer.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("engine at %s answered %s: %w", address, path, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, fmt.Errorf("engine at %s answered %s with more than %d bytes", address, path, maxAnswerBytes)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return nil, fmt.Errorf("engine at %s answered %s: %w", address, path, err)
	}
	return answer.Header, nil
}
