// Package httpapi implements the platform's interfaces as an HTTP client. Every
// call of an interface is a POST with a JSON body. A call without a response within
// the timeout returns platform.ErrUnavailable; whether it took effect is unknown.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Limits and defaults of a Client. DefaultTimeout bounds one call.
const (
	DefaultTimeout      = 2 * time.Second
	maxResponseBytes    = 16 << 20
	maxErrorBodyBytes   = 64 << 10
	dialTimeout         = time.Second
	idleConnTimeout     = 15 * time.Second
	maxIdleConnsPerHost = 8
)

// Options configure a Client.
type Options struct {
	// Caller is the name of this instance, sent in CallerHeader. Required.
	Caller string
	// Endpoint is the base URL, with an IP address, of every interface without its
	// own endpoint, such as http://127.0.0.1:9000.
	Endpoint string
	// TableEndpoint, ObjectsEndpoint, ServersEndpoint, UsageEndpoint and
	// InstancesEndpoint override Endpoint for one interface. Empty means Endpoint.
	TableEndpoint     string
	ObjectsEndpoint   string
	ServersEndpoint   string
	UsageEndpoint     string
	InstancesEndpoint string
	// Timeout bounds one call. Zero means DefaultTimeout.
	Timeout time.Duration
	// AcceptConflict decodes the body of status 409 like that of status 200, as
	// engines require. If false, it is decoded as an ErrorAnswer.
	AcceptConflict bool
}

// Client is an HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *httpcheck.Transport
	http      *http.Client
}

// New returns a client. Connections are opened on first use.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	for _, endpoint := range []*string{&o.TableEndpoint, &o.ObjectsEndpoint, &o.ServersEndpoint, &o.UsageEndpoint, &o.InstancesEndpoint} {
		if *endpoint == "" {
			*endpoint = o.Endpoint
		}
	}
	transport := &httpcheck.Transport{Transport: &http.Transport{
		DialContext:         guardconn.Dial(&net.Dialer{}, dialTimeout),
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	}}
	return &Client{
		options:   o,
		transport: transport,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Table returns the table service.
func (c *Client) Table() platform.Table { return tableClient{c} }

// Objects returns the object store.
func (c *Client) Objects() platform.Objects { return objectsClient{c} }

// Servers returns the interface that lists and orders backend servers.
func (c *Client) Servers() platform.Servers { return serversClient{c} }

// Usage returns the interface that receives usage reports.
func (c *Client) Usage() platform.UsageSink { return usageClient{c} }

// Instances returns the list of instances.
func (c *Client) Instances() platform.Instances { return instancesClient{c} }

// Register registers an instance or renews its registration.
func (c *Client) Register(ctx context.Context, in platform.Instance) error {
	_, err := Post[platform.Instance, Empty](ctx, c, c.options.InstancesEndpoint+RegisterPath, in)
	return err
}

// Post sends query as JSON and decodes the response. It returns ErrUnavailable if
// the effect of the call is unknown. A check in ctx (see platform.WithWriteCheck) runs
// right before the request is written.
func Post[Q, A any](ctx context.Context, c *Client, url string, query Q) (A, error) {
	body, err := json.Marshal(query)
	if err != nil {
		var none A
		return none, fmt.Errorf("encode request of %s: %w", url, err)
	}
	return call[A](ctx, c, http.MethodPost, url, body)
}

// Get sends a GET request and decodes the response.
func Get[A any](ctx context.Context, c *Client, url string) (A, error) {
	return call[A](ctx, c, http.MethodGet, url, nil)
}

func call[A any](ctx context.Context, c *Client, method, url string, body []byte) (A, error) {
	var answer A
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	data, err := c.roundTrip(ctx, method, url, body)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("%w: decode response of %s: %v", platform.ErrUnavailable, url, err)
	}
	return answer, nil
}

// roundTrip returns the body of a successful response. After a failure it closes the
// idle connections, since others to the same endpoint may be unresponsive as well.
func (c *Client) roundTrip(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	ctx, denied := platform.GuardWrites(ctx)
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("create request of %q: %w", url, err)
	}
	if len(body) > 0 {
		request.ContentLength = int64(len(body))
		request.Body = io.NopCloser(bytes.NewReader(body)) // without GetBody, so that it is written once
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(CallerHeader, c.options.Caller)
	response, err := c.http.Do(request)
	if checkErr := denied(); checkErr != nil {
		return nil, checkErr
	}
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	defer response.Body.Close()
	accepted := c.options.AcceptConflict && response.StatusCode == http.StatusConflict
	if response.StatusCode != http.StatusOK && !accepted {
		return nil, readError(response, url)
	}
	data, err := readBounded(response.Body, maxResponseBytes)
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, fmt.Errorf("%w: read response of %s: %v", platform.ErrUnavailable, url, err)
	}
	return data, nil
}

// readError decodes the error in an unsuccessful response. Without a valid ErrorAnswer
// it returns ErrUnavailable.
func readError(response *http.Response, url string) error {
	data, err := readBounded(response.Body, maxErrorBodyBytes)
	if err != nil {
		return fmt.Errorf("%w: read body of status %d of %s: %v", platform.ErrUnavailable, response.StatusCode, url, err)
	}
	var answer ErrorAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("%w: status %d of %s", platform.ErrUnavailable, response.StatusCode, url)
	}
	return answer.Err()
}

// readBounded reads up to limit bytes and returns an error if there are more.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("response body exceeds %d bytes", limit)
	}
	return data, nil
}
