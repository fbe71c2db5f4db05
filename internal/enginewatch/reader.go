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
	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
)

const (
	readTimeout      = 400 * time.Millisecond // per request
	maxAnswerBytes   = 1 << 20
	maxIdleConns     = 512
	idleConnLifetime = 90 * time.Second
)

// reader reads engines over HTTP. A request that times out closes its
// connection, so the next request uses a new one.
type reader struct {
	client *http.Client
	now    func() time.Time
}

func newReader(now func() time.Time) *reader {
	client := &http.Client{
		Timeout: readTimeout,
		Transport: &httpcheck.Transport{Transport: &http.Transport{
			DisableCompression:  true,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleConnLifetime,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &reader{client: client, now: now}
}

// close closes the idle connections.
func (r *reader) close() { r.client.CloseIdleConnections() }

// read reads one engine. If only the read of the cache events fails, the load
// report in the result is still valid.
func (r *reader) read(ctx context.Context, what readTask) (readResult, error) {
	var result readResult
	asked := r.now()
	header, err := get(ctx, r.client, what.server.address, engineapi.LoadPath, &result.load)
	if err != nil {
		result.failed = true
		return result, err
	}
	arrived := r.now()
	result.age = reportAge(arrived, arrived.Sub(asked), result.load.UnixMillis, header)
	if !what.cache {
		return result, nil
	}
	path := engineapi.CacheEventsPath + "?after=" + strconv.FormatUint(what.after, 10)
	_, err = get(ctx, r.client, what.server.address, path, &result.cache)
	result.hasCache = err == nil
	return result, err
}

// get decodes one JSON response into the given value and returns the response
// header.
func get(ctx context.Context, client *http.Client, address, path string, into any) (http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("User-Agent", "") // omits the header to save bandwidth
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
