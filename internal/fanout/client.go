package fanout

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/stall"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

const (
	connectTimeout        = 300 * time.Millisecond
	idleConnTimeout       = 20 * time.Second
	maxResponseBytes      = 32 << 20
	maxIdleConnsPerSource = 4
)

// errNotSource reports that the called instance does not serve tables now. Nothing was
// written.
var errNotSource = errors.New("the instance is not a source")

// Client calls sources. It is safe for concurrent use.
type Client struct{ transport *httpcheck.Transport }

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{transport: &httpcheck.Transport{Transport: &http.Transport{
		DialContext:         guardconn.Dial(&net.Dialer{}, connectTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerSource,
		IdleConnTimeout:     idleConnTimeout,
	}}}
}

func (c *Client) Close() { c.transport.CloseIdleConnections() }

// fetchChanges fetches the rows of a table changed after version since. The source holds
// the call for up to wait until there is a change.
func (c *Client) fetchChanges(ctx context.Context, source Member, table string, since uint64, wait time.Duration) (tablefeed.Page, error) {
	query := url.Values{
		"since":   {strconv.FormatUint(since, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page wirePage
	err := c.call(ctx, http.MethodGet, source, table, query, nil, &page)
	return page.page(), err
}

// write writes a row through a source and returns its version, 0 for an entry without a
// check. It returns errNotSource when nothing was written, and
// *platform.ConflictError when the check failed. After any other error the outcome is
// unknown.
func (c *Client) write(ctx context.Context, source Member, table string, e Entry) (uint64, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("encode row %q: %w", e.Key, err)
	}
	var w wireResult
	if err := c.call(ctx, http.MethodPost, source, table, nil, data, &w); err != nil {
		return 0, err
	}
	if w.Conflict {
		return 0, &platform.ConflictError{Key: e.Key, Current: w.Version}
	}
	return w.Version, nil
}

// call sends one request to a source and decodes its response into out.
func (c *Client) call(ctx context.Context, method string, source Member, table string, query url.Values, body []byte, out any) error {
	u := &url.URL{Scheme: "http", Host: source.Address, Path: "/tables/" + table, RawQuery: query.Encode()}
	guarded, _ := platform.GuardWrites(ctx)
	request := (&http.Request{
		Method: method, URL: u, Host: source.Address, Header: http.Header{"Authorization": {bearer(source.Token)}},
	}).WithContext(guarded)
	if body != nil {
		request.ContentLength = int64(len(body))
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("call instance %s: %w", source.Name, err)
	}
	defer response.Body.Close()
	stall.Progress(ctx)
	data, err := io.ReadAll(io.LimitReader(stall.Reader(ctx, response.Body), maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response of instance %s: %w", source.Name, err)
	}
	if err := statusError(response.StatusCode); err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response of instance %s: %w", source.Name, err)
	}
	return nil
}

// statusError returns the error for a response status; nil for 200.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return tablefeed.ErrHistoryGone
	case http.StatusConflict:
		return errRestoredSince
	case http.StatusServiceUnavailable:
		return errStoreUnavailable
	case http.StatusMisdirectedRequest, http.StatusUnauthorized:
		return errNotSource
	}
	return fmt.Errorf("unexpected status %d from source", status)
}
