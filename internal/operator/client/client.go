// Package client calls the operators' HTTP API of one instance.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// callTimeout bounds one call. It allows for a slow table service.
const callTimeout = 30 * time.Second

// maxErrorBytes is the number of bytes of an error body that are read.
const maxErrorBytes = 1 << 20

// AddressError reports an invalid address of an operators' listener.
type AddressError struct{ Address string }

// Error implements the error interface.
func (e *AddressError) Error() string {
	return fmt.Sprintf("%q is not the address of an operators' listener such as http://10.0.0.7:9090", e.Address)
}

// UnreachableError reports that an instance did not answer. It is then unknown
// whether a change took effect. All changes can be retried safely.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements the error interface.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("instance at %s did not answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// AnswerError is an error answer of the instance.
type AnswerError struct {
	Status int // HTTP status
	Body   operator.ErrorBody
}

// Error implements the error interface.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("result %d (%s): %s", int(e.Body.Code), e.Body.Type, e.Body.Message)
}

// Client calls one instance. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client for the address, which is http://IP:PORT,
// https://IP:PORT or IP:PORT. If token is empty, none is sent. If tlsConfig is
// nil, the system's certificate authorities are used.
func New(address, token string, tlsConfig *tls.Config) (*Client, error) {
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	u, err := url.Parse(base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" {
		return nil, &AddressError{address}
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return nil, &AddressError{address}
	}
	return &Client{
		base: u.Scheme + "://" + u.Host, token: token,
		http: &http.Client{
			Timeout:   callTimeout,
			Transport: &httpcheck.Transport{Transport: &http.Transport{TLSClientConfig: tlsConfig, ForceAttemptHTTP2: true}},
		},
	}, nil
}

// Address returns the base URL of the instance.
func (c *Client) Address() string { return c.base }

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (operator.ConfigAnswer, error) {
	return call[operator.ConfigAnswer](ctx, c, http.MethodGet, operator.ConfigPath, nil)
}

// Apply commits a configuration text. It fails with result.ConfigConflict if the
// text was changed after version base.
func (c *Client) Apply(ctx context.Context, text string, base uint64) (operator.ChangeAnswer, error) {
	request := operator.ApplyRequest{Base: base, Text: text}
	return call[operator.ChangeAnswer](ctx, c, http.MethodPut, operator.ConfigPath, request)
}

// Keys returns all keys that were ever granted.
func (c *Client) Keys(ctx context.Context) ([]operator.KeyAnswer, error) {
	return call[[]operator.KeyAnswer](ctx, c, http.MethodGet, operator.KeysPath, nil)
}

// GrantKey grants the key with the digest to the organisation.
func (c *Client) GrantKey(ctx context.Context, d config.KeyDigest, organisation string) (operator.ChangeAnswer, error) {
	request := operator.GrantRequest{Digest: d, Organisation: organisation}
	return call[operator.ChangeAnswer](ctx, c, http.MethodPost, operator.KeysPath, request)
}

// WithdrawKey withdraws the key with the digest.
func (c *Client) WithdrawKey(ctx context.Context, d config.KeyDigest) (operator.ChangeAnswer, error) {
	path := operator.KeyPath + url.PathEscape(string(d))
	return call[operator.ChangeAnswer](ctx, c, http.MethodDelete, path, nil)
}

// SetZone drains an availability zone, or returns it to service if out is false.
func (c *Client) SetZone(ctx context.Context, zone string, out bool) (operator.ChangeAnswer, error) {
	path := operator.ZonePath + url.PathEscape(zone)
	return call[operator.ChangeAnswer](ctx, c, http.MethodPut, path, operator.ZoneRequest{Out: out})
}

// InForce returns the configuration version in force on each known instance.
func (c *Client) InForce(ctx context.Context) ([]config.InstanceVersion, error) {
	return call[[]config.InstanceVersion](ctx, c, http.MethodGet, operator.InForcePath, nil)
}

// Status returns the instance's status.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	return call[operator.Status](ctx, c, http.MethodGet, operator.StatusPath, nil)
}

// Drain starts a planned stop. With force, it cancels requests that are still running.
func (c *Client) Drain(ctx context.Context, force bool) error {
	response, err := c.send(ctx, http.MethodPost, operator.DrainPath, operator.DrainRequest{Force: force})
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Timeline returns the events that the instance retains and the number of older
// events that it has dropped.
func (c *Client) Timeline(ctx context.Context) (events []timeline.Event, dropped uint64, err error) {
	response, err := c.send(ctx, http.MethodGet, operator.TimelinePath, nil)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	events, err = timeline.ReadJSON(response.Body)
	if err != nil {
		return nil, 0, &UnreachableError{c.base, err}
	}
	dropped, err = strconv.ParseUint(response.Header.Get(operator.DroppedEventsHeader), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("header %s: %w", operator.DroppedEventsHeader, err)
	}
	return events, dropped, nil
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var answer T
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, &UnreachableError{c.base, fmt.Errorf("answer to %s %s: %w", method, path, err)}
	}
	return answer, nil
}

// send sends a request and returns the response if its status is below 400. The
// caller must close the body.
func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode %s %s: %w", method, path, err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, content)
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &UnreachableError{c.base, withoutURL(err)}
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer response.Body.Close()
		return nil, answerError(response)
	}
	return response, nil
}

// withoutURL unwraps a *url.Error, whose text repeats the address.
func withoutURL(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func answerError(response *http.Response) error {
	var answer operator.ErrorAnswer
	body := io.LimitReader(response.Body, maxErrorBytes)
	if err := json.NewDecoder(body).Decode(&answer); err != nil || answer.Error.Code == 0 {
		return fmt.Errorf("answer with status %s has no result code", response.Status)
	}
	return &AnswerError{Status: response.StatusCode, Body: answer.Error}
}
