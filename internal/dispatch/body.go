package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

var errCallerBody = errors.New("reading the caller's request body failed")

func (a *attempt) url() *url.URL {
	u := &url.URL{Scheme: "http", Host: a.target.Address, RawQuery: a.x.query}
	path, err := url.PathUnescape(a.x.call.Path)
	if err != nil {
		path = a.x.call.Path
	}
	u.Path = path
	u.RawPath = a.x.call.Path
	return u
}

// setBody sets a body that the transport cannot rewind, so that the transport
// does not retry the request on its own.
func (a *attempt) setBody(request *http.Request) {
	c := &a.x.call
	if c.Stream != nil {
		request.ContentLength = c.ContentLength
		request.Body = &callerBody{a: a}
		context.AfterFunc(a.ctx, a.interruptBody)
		return
	}
	if len(a.x.body) == 0 {
		request.Body = EmptyBody(c.Method)
		return
	}
	request.ContentLength = int64(len(a.x.body))
	request.Body = io.NopCloser(bytes.NewReader(a.x.body))
}

// interruptBody ends a pending read of the caller's body; the transport would
// wait for it. A body that no attempt has read yet is left alone, because
// another attempt may still send it.
func (a *attempt) interruptBody() {
	if body, ok := a.x.call.Stream.(Interrupter); ok && a.x.bodyRead.Load() {
		body.Interrupt()
	}
}

// EmptyBody returns an empty request body for the method. For GET, HEAD and
// OPTIONS the transport cannot detect that the body is empty, so it does not
// retry the request on its own. For other methods it returns http.NoBody; an
// undetected empty body would be sent chunked.
func EmptyBody(method string) io.ReadCloser {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return io.NopCloser(bytes.NewReader(nil))
	}
	return http.NoBody
}

// callerBody reads a streamed request body and bounds each read from the
// caller.
type callerBody struct {
	a      *attempt
	closed atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	t := b.a.x.call.Timeouts
	answering := b.a.x.answerStarted.Load()
	if !answering {
		b.a.watchdog.arm(phaseCallerBody, t.Body)
	}
	b.a.x.bodyRead.Store(true)
	if cause := context.Cause(b.a.ctx); cause != nil { // interruptBody may have run before the read
		return 0, cause
	}
	n, err := b.a.x.call.Stream.Read(p)
	if !answering {
		b.a.watchdog.arm(phaseHeaders, t.Headers)
	}
	if err != nil && err != io.EOF {
		err = fmt.Errorf("%w: %w", errCallerBody, err)
	}
	return n, err
}

// Close implements io.Closer. It does not close the caller's body.
func (b *callerBody) Close() error {
	b.closed.Store(true)
	return nil
}

// answerBody reads an answer's body with a timeout for each read. Before each
// read it flushes what was relayed so far to the caller.
type answerBody struct {
	a       *attempt
	started bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.a.relaying {
		if err := b.a.x.flush(); err != nil {
			return 0, err
		}
	}
	b.arm()
	n, err := b.a.response.Body.Read(p)
	b.a.watchdog.disarm()
	if n > 0 {
		b.started = true
		b.a.lastRead = time.Now()
	}
	return n, err
}

func (b *answerBody) arm() {
	t := b.a.x.call.Timeouts
	switch {
	case b.a.draining:
		b.a.watchdog.arm(phaseNextToken, drainTimeout)
	case b.a.x.call.Stream != nil: // the server may be waiting for the caller's body
		b.a.watchdog.arm(phaseNextToken, max(t.BetweenTokens, t.Body))
	case b.started:
		b.a.watchdog.arm(phaseNextToken, t.BetweenTokens)
	default:
		b.a.watchdog.arm(phaseFirstToken, t.FirstToken)
	}
}

// drainTimeout bounds each read of the bytes that follow a relayed terminal
// event. On expiry the connection is closed instead of reused.
const drainTimeout = 20 * time.Millisecond

// drain reads the answer to its end, so that the connection can be reused.
func (a *attempt) drain() {
	if a.fresh {
		return
	}
	a.draining = true
	_, _ = io.Copy(io.Discard, io.LimitReader(a.body, streamReadBufferBytes))
}
