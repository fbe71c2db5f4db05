// Package httpapi holds the HTTP clients for the platform's interfaces. Every
// call is a POST with a JSON body; a call without an answer within the timeout
// returns platform.ErrUnavailable, and its effect is then unknown.
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

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Limits and defaults of a Client.
const (
	DefaultTimeout   = 2 * time.Second
	maxAnswerBytes   = 16 << 20
	maxErrorBytes    = 64 << 10
	dialTimeout      = time.Second
	idleConnLifetime = 15 * time.Second
	maxIdleConns     = 8
)

// Options configure a Client.
type Options struct {
	// Caller is the name of this instance. Required.
	Caller string
	// Endpoint is the base URL with an IP address, such as http://127.0.0.1:9000,
	// of every interface that has no endpoint of its own.
	Endpoint string
	// TableEndpoint, ObjectsEndpoint, ServersEndpoint, UsageEndpoint and
	// InstancesEndpoint replace Endpoint for one interface. Empty: Endpoint.
	TableEndpoint     string
	ObjectsEndpoint   string
	ServersEndpoint   string
	UsageEndpoint     string
	InstancesEndpoint string
	// Timeout bounds one call. Zero: DefaultTimeout.
	Timeout time.Duration
	// AnswerOnConflict takes the body of status 409 as an answer, as engines
	// send it. Default false: it is an ErrorAnswer.
	AnswerOnConflict bool
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	http      *http.Client
}

// New returns a client. It opens no connection yet.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	for _, endpoint := range []*string{&o.TableEndpoint, &o.ObjectsEndpoint, &o.ServersEndpoint, &o.UsageEndpoint, &o.InstancesEndpoint} {
		if *endpoint == "" {
			*endpoint = o.Endpoint
		}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleConnLifetime,
		MaxIdleConnsPerHost: maxIdleConns,
	}
	return &Client{
		options:   o,
		transport: transport,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Table returns the table service.
func (c *Client) Table() platform.Table { return tableClient{c} }

// Objects returns the object store.
func (c *Client) Objects() platform.Objects { return objectsClient{c} }

// Servers returns the interface that lists and orders backend servers.
func (c *Client) Servers() platform.Servers { return serversClient{c} }

// Usage returns the sink of usage reports.
func (c *Client) Usage() platform.UsageSink { return usageClient{c} }

// Instances returns the list of instances.
func (c *Client) Instances() platform.Instances { return instancesClient{c} }

// Register announces this instance or renews its registration.
func (c *Client) Register(ctx context.Context, in platform.Instance) error {
	_, err := Post[platform.Instance, Empty](ctx, c, c.options.InstancesEndpoint+RegisterPath, in)
	return err
}

// Post makes one call. Whatever leaves the effect unknown is ErrUnavailable; a
// check that the context carries runs right before the body is written.
func Post[Q, A any](ctx context.Context, c *Client, url string, query Q) (A, error) {
	body, err := json.Marshal(query)
	if err != nil {
		var none A
		return none, fmt.Errorf("encode the call of %s: %w", url, err)
	}
	return call[A](ctx, c, http.MethodPost, url, body)
}

// Get reads an answer.
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
		return answer, fmt.Errorf("%w: decode the answer of %s: %v", platform.ErrUnavailable, url, err)
	}
	return answer, nil
}

// roundTrip returns the body of a successful answer. After a failure the idle
// connections are dropped, since others to the same endpoint may be silent too.
func (c *Client) roundTrip(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	checked := &checkedBody{ctx: ctx, body: bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, method, url, checked)
	if err != nil {
		return nil, fmt.Errorf("call of %q: %w", url, err)
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(CallerHeader, c.options.Caller)
	response, err := c.http.Do(request)
	if refused := checked.failure(); refused != nil {
		return nil, refused
	}
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	defer response.Body.Close()
	answered := c.options.AnswerOnConflict && response.StatusCode == http.StatusConflict
	if response.StatusCode != http.StatusOK && !answered {
		return nil, readError(response, url)
	}
	data, err := readBounded(response.Body, maxAnswerBytes)
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, fmt.Errorf("%w: read the answer of %s: %v", platform.ErrUnavailable, url, err)
	}
	return data, nil
}

// readError returns the error that an unsuccessful answer stands for.
func readError(response *http.Response, url string) error {
	data, err := readBounded(response.Body, maxErrorBytes)
	if err != nil {
		return fmt.Errorf("%w: read status %d of %s: %v", platform.ErrUnavailable, response.StatusCode, url, err)
	}
	var answer ErrorAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("%w: status %d of %s", platform.ErrUnavailable, response.StatusCode, url)
	}
	return answer.Err()
}

// readBounded reads at most limit bytes and fails when there are more.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("answer exceeds %d bytes", limit)
	}
	return data, nil
}
