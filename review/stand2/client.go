package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Times of a client, as on the pages: one second for a new connection; the deadline of
// estado-tambor.
const (
	dialTimeout = time.Second
	deadline    = 4 * time.Second
)

// outcome is what a client saw of one attempt.
type outcome struct {
	status int // 0: no answer
	body   string
	err    error
}

// call sends one proper request on a new connection and reads the whole answer.
func call(address, method, target, attempt, body string) outcome {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return outcome{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(conn, head(method, target, attempt, len(body))+body); err != nil {
		return outcome{err: err}
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return outcome{err: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return outcome{status: answer.StatusCode, body: string(data), err: err}
}

// head returns the head of a proper request.
func head(method, target, attempt string, length int) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, target, host, attempt, deadline.Milliseconds(), apiKey)
	if method != http.MethodGet {
		h += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return h + "\r\n"
}

// callWithRetry makes an attempt at one instance and, if it got no answer or was turned away,
// another one at the next, as clients do.
func (w *world) callWithRetry(n int, what string) (served bool) {
	for try := range 2 {
		i := w.instances[(n+try)%len(w.instances)]
		attempt := fmt.Sprintf("%s-%d-%d", what, n, try)
		o := call(i.ingress, http.MethodGet, "/estado/tambor-"+fmt.Sprint(n), attempt, "")
		w.record("client sent %s to %s: status %d, %d bytes, error %v", attempt, i.name, o.status, len(o.body), o.err)
		if o.status == http.StatusOK && o.err == nil {
			return true
		}
	}
	return false
}
