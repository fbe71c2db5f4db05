package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	strangeKey = "zz0unknownkey0000zz" // no configuration holds it
	keyChecks  = 20                    // requests with each key
	revocation = 5 * time.Second       // revocation_ms
)

// callWithKey sends one request with a key on a new connection and returns the status.
func callWithKey(address, attempt, key string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	h := head(http.MethodPost, "/recolha/"+attempt, attempt, 1)
	if _, err := io.WriteString(conn, strings.Replace(h, apiKey, key, 1)+"b"); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	_ = answer.Body.Close()
	return answer.StatusCode, nil
}

// runTenants: a new version of the configuration takes away the last tenant. Requests with its key
// and with unknown keys are not to run any more. With TROUBLE=tenant the tenant stays and loses its
// keys; with TROUBLE=0 nothing is changed, and only the unknown key is checked.
func runTenants(w *world) (int, error) {
	var ran atomic.Int64
	answer := func(rw http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		w.record("server runs %s with X-Tenant %q, Authorization %q", r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Tenant"), r.Header.Get("Authorization"))
		w.shortAnswer(rw, r)
	}
	if err := w.startApp(answer); err != nil {
		return 0, err
	}
	probe := func(what, key string) (runs int64) {
		before := ran.Load()
		for n := range keyChecks {
			i := w.instances[n%len(w.instances)]
			attempt := fmt.Sprintf("%s-%d", what, n)
			status, err := callWithKey(i.ingress, attempt, key)
			w.record("client sent %s with key %s to %s: status %d, error %v", attempt, key, i.name, status, err)
		}
		return ran.Load() - before
	}
	known, strange := probe("known-before", apiKey), probe("strange-before", strangeKey)
	w.record("before: %d of %d with the tenant's key ran, %d of %d with an unknown key", known, keyChecks, strange, keyChecks)
	if known != keyChecks || strange != 0 {
		return 0, fmt.Errorf("%d and %d requests ran before", known, strange)
	}
	if trouble {
		if err := w.putTenants(2); err != nil {
			return 0, err
		}
		w.record("version 2 is acknowledged")
	}
	time.Sleep(revocation + time.Second)
	strange = probe("strange-after", strangeKey)
	known = 0
	if trouble {
		known = probe("known-after", apiKey)
	}
	w.record("after: %d of %d with the withdrawn key ran, %d of %d with an unknown key", known, keyChecks, strange, keyChecks)
	if known+strange > 0 {
		return broken, nil
	}
	return held, nil
}
