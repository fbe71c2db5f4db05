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

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

const (
	connectTimeout  = 300 * time.Millisecond
	idleTimeout     = 20 * time.Second
	mostAnswerBytes = 32 << 20
	idleConnections = 4
)

// errNotSource reports that the instance asked is no source.
var errNotSource = errors.New("the instance is no source")

// Client asks sources.
type Client struct{ transport *http.Transport }

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// changes asks a source for the rows of a table changed after a version.
func (c *Client) changes(ctx context.Context, source Member, table string, since uint64, wait time.Duration) (tablefeed.Page, error) {
	query := url.Values{
		"since":   {strconv.FormatUint(since, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page wirePage
	err := c.call(ctx, http.MethodGet, source, table, query, nil, &page)
	return page.page(), err
}

// write writes a row of a table through a source. It returns errNotSource when
// nothing was written, and *platform.ConflictError when the check failed.
func (c *Client) write(ctx context.Context, source Member, table string, e Entry) (uint64, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("encode the row %q: %w", e.Key, err)
	}
	var w wireWritten
	if err := c.call(ctx, http.MethodPost, source, table, nil, data, &w); err != nil {
		return 0, err
	}
	if w.Conflict {
		return 0, &platform.ConflictError{Key: e.Key, Current: w.Version}
	}
	return w.Version, nil
}

// call makes a call and decodes the answer.
func (c *Client) call(ctx context.Context, method string, source Member, table string, query url.Values, body []byte, into any) error {
	u := &url.URL{Scheme: "http", Host: source.Address, Path: "/tables/" + table, RawQuery: query.Encode()}
	request := (&http.Request{
		Method: method, URL: u, Host: source.Address, Header: http.Header{"Authorization": {bearer(source.Token)}},
	}).WithContext(ctx)
	if body != nil {
		request.ContentLength = int64(len(body))
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("ask instance %s: %w", source.Name, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, mostAnswerBytes))
	if err != nil {
		return fmt.Errorf("read the answer of instance %s: %w", source.Name, err)
	}
	if err := refusal(response.StatusCode); err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode the answer of instance %s: %w", source.Name, err)
	}
	return nil
}

// refusal is what a status other than 200 means.
func refusal(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return tablefeed.ErrHistoryGone
	case http.StatusServiceUnavailable:
		return errStoreLost
	case http.StatusMisdirectedRequest, http.StatusUnauthorized:
		return errNotSource
	}
	return fmt.Errorf("status %d of a source", status)
}
