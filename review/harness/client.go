package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// call is one request of a client.
type call struct {
	method, path string
	key          string // empty on a route without keys
	deadline     time.Duration
	events       int // of a stream; 0 for a plain request
	prompt       string
	body         string
}

// outcome is what the client has seen.
type outcome struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int   // 0 without an answer
	err      error // of an answer that broke off
	body     string
	signed   bool
	received int // complete events
}

var serial atomic.Int64

// newTransport returns a transport that keeps connections open as clients do.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
}

// send makes the call at an instance.
func (w *world) send(transport *http.Transport, i *instance, c call) outcome {
	o := outcome{id: fmt.Sprintf("%016x", serial.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+i.ingress+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		o.err = err
		return o
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", o.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.events > 0 {
		r.Header.Set("X-Model-Id", "m")
		r.Header.Set("X-Token-Usage", fmt.Sprintf("1460,%d", c.events))
		r.Header.Set("X-Prefix-Hash", c.prompt)
	}
	w.record.printf("client: %s %s %s to %s", o.id, c.method, c.path, i.name)
	response, err := transport.RoundTrip(r)
	if err != nil {
		o.err = err
	} else {
		var data []byte
		data, o.err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		o.status, o.body = response.StatusCode, string(data)
		o.signed = response.Header.Get("X-Server-Signature") != ""
		o.received = strings.Count(o.body, "\n\n")
	}
	o.endedAt = time.Now()
	shown := ""
	if o.status != http.StatusOK {
		shown = " " + o.body
	}
	w.record.printf("client: %s ended: status %d, %d events, %d bytes, whole %t, error %v%s", o.id, o.status, o.received, len(o.body), o.err == nil && o.status != 0, o.err, shown)
	return o
}
