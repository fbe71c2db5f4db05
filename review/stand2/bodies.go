package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyClients is the number of connections to each instance.
	bodyClients = 700
	// bodyLength is the declared length of a body, of which bodySent bytes are sent.
	bodyLength = 2000
	bodySent   = 500
	// calm is the time without any traffic before the rule is checked.
	calm = 15 * time.Second
	// probes is the number of proper requests after that, one each probeInterval.
	probes        = 30
	probeInterval = 500 * time.Millisecond
)

// startApp starts three servers of the application and two instances.
func (w *world) startApp(answer func(http.ResponseWriter, *http.Request)) error {
	for n := range 3 {
		if _, err := w.addServer(fmt.Sprintf("i-%d", n), zoneName, appName, appSlots, answer, nil); err != nil {
			return err
		}
	}
	return w.startInstances()
}

// startInstances puts the configuration, starts two instances and waits until they
// know of each other.
func (w *world) startInstances() error {
	if err := w.putConfig(1); err != nil {
		return err
	}
	for n := range 2 {
		if err := w.start(fmt.Sprintf("edge-%d", n), loopback(n)); err != nil {
			return err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // the instances know of each other
	return nil
}

// shortAnswer is the answer of a sound server of the application.
func (w *world) shortAnswer(rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	w.record("server runs %s: %s %s, %d bytes", r.Header.Get("X-Attempt-Id"), r.Method, r.RequestURI, len(body))
	time.Sleep(60 * time.Millisecond)
	_, _ = io.WriteString(rw, strings.Repeat("x", 800))
}

// runBodies: clients begin a request without a key and stop in the middle of its body. Their
// connections stay open and silent. In calm afterwards, proper requests are to be served.
func runBodies(w *world) (int, error) {
	if err := w.startApp(w.shortAnswer); err != nil {
		return 0, err
	}
	var keyed atomic.Int64
	go w.sendPartWithKey(&keyed)
	before := w.probe("before")
	var answered atomic.Int64
	var open sync.WaitGroup
	for n := range bodyClients {
		for _, i := range w.instances {
			open.Add(1)
			go func() { sendPartOfBody(i.ingress, n, &answered, &open) }()
		}
		time.Sleep(2 * time.Millisecond)
	}
	open.Wait()
	w.record("clients send the head of POST /recolha/x without a key and a part of its body")
	w.record("%d connections to each instance were opened; %d requests on them were answered so far", bodyClients, answered.Load())
	time.Sleep(calm)
	for _, i := range w.instances {
		w.record("instance %s: running %t, ready %t", i.name, i.running(), i.ready())
	}
	after := w.probe("after")
	w.record("proper requests served: %d of %d before, %d of %d after; %d of %d other requests answered", before, probes, after, probes,
		answered.Load(), bodyClients*len(w.instances))
	w.record("not part of the check: the request with a valid key and a part of its body was answered: %t", keyed.Load() > 0)
	if before < probes*9/10 {
		return 0, fmt.Errorf("only %d of %d requests were served before the disruption", before, probes)
	}
	closed := 0
	for _, i := range w.instances {
		if w.takesNone(i) {
			closed++
		}
	}
	if after < probes/2 && closed > 0 {
		return broken, nil
	}
	return held, nil
}

// newClients is the number of clients that try an instance within contact_ms; the rule asks for
// seven.
const newClients = 10

// takesNone reports whether the instance says that it is ready and answers none of several new
// clients within contact_ms.
func (w *world) takesNone(i *instance) bool {
	ready, served := true, 0
	for n := range newClients {
		ready = ready && i.ready()
		o := call(i.ingress, http.MethodGet, fmt.Sprintf("/estado/novo-%d", n), fmt.Sprintf("new-%s-%d", i.name, n), "")
		if o.status != 0 {
			served++
		}
		time.Sleep(contact / newClients)
	}
	ready = ready && i.ready()
	w.record("instance %s: ready all the time %t; %d of %d new clients within contact_ms got an answer", i.name, ready, served, newClients)
	return ready && served == 0
}

// sendPartWithKey sends a proper head with a valid key and a part of its body, long before the
// other clients come.
func (w *world) sendPartWithKey(answered *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", w.instances[0].ingress, dialTimeout)
	if err != nil {
		return
	}
	sent := bodySent
	if !trouble {
		sent = bodyLength
	}
	w.record("a client with a valid key sends %d of %d bytes of a body to %s", sent, bodyLength, w.instances[0].name)
	if _, err := io.WriteString(conn, head(http.MethodPost, "/recolha/x", "keyed", bodyLength)+strings.Repeat("b", sent)); err != nil {
		return
	}
	answer := make([]byte, 64)
	if k, _ := conn.Read(answer); k > 0 {
		answered.Add(1)
		w.record("the client with a valid key gets %q", answer[:k])
	}
	_, _ = io.Copy(io.Discard, conn)
}

// probe sends proper requests, one after the other, and returns how many were served.
func (w *world) probe(what string) (served int) {
	for n := range probes {
		if w.callWithRetry(n, what) {
			served++
		}
		time.Sleep(probeInterval)
	}
	return served
}

// sendPartOfBody sends a request with a part of its body, or all of it without the trouble, and
// keeps the connection.
func sendPartOfBody(address string, n int, answered *atomic.Int64, open *sync.WaitGroup) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		open.Done()
		return
	}
	sent := bodySent
	if !trouble {
		sent = bodyLength
	}
	_, err = fmt.Fprintf(conn, "POST /recolha/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: stalled-%s-%d\r\nContent-Length: %d\r\n\r\n%s",
		host, strings.ReplaceAll(address, ":", "-"), n, bodyLength, strings.Repeat("b", sent))
	open.Done()
	if err != nil {
		return
	}
	if k, _ := conn.Read(make([]byte, 4096)); k > 0 {
		answered.Add(1)
	}
	// The connection stays open until this process ends.
	_, _ = io.Copy(io.Discard, conn)
}
