package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slowReaders is the number of clients of each instance that do not read their answers.
	slowReaders = 24
	// longAnswer is the size of the answers that they ask for.
	longAnswer = 128 << 10
	// segment is the segment size that they announce: that of any path over Ethernet, where
	// loopback would announce 64 KiB.
	segment = 1460
	// window is their receive buffer. The pages say that links have small windows.
	window = 4096
)

// runReaders: clients with a valid key ask for long answers and stop reading, as a suspended
// device does. Long after the deadline of their requests, proper requests are to be served.
func runReaders(w *world) (int, error) {
	answer := func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/estado/relatorio") {
			w.record("server runs %s: %s %s", r.Header.Get("X-Attempt-Id"), r.Method, r.RequestURI)
			_, _ = io.WriteString(rw, strings.Repeat("r", longAnswer))
			return
		}
		w.shortAnswer(rw, r)
	}
	if err := w.startApp(answer); err != nil {
		return 0, err
	}
	before := w.probe("before")
	var read atomic.Int64
	for n := range slowReaders {
		for _, i := range w.instances {
			go readNothing(i.ingress, fmt.Sprintf("slow-%s-%d", i.name, n), &read)
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(deadline + calm)
	for _, i := range w.instances {
		w.record("instance %s: running %t, ready %t", i.name, i.running(), i.ready())
	}
	after := w.probe("after")
	w.record("proper requests served: %d of %d before, %d of %d after; %d long answers were read", before, probes, after, probes, read.Load())
	if before < probes*9/10 {
		return 0, fmt.Errorf("only %d of %d requests were served before the disruption", before, probes)
	}
	if after < probes/2 {
		return broken, nil
	}
	return held, nil
}

// readNothing sends a proper request and does not read the answer, or all of it without the
// trouble. The connection stays open.
func readNothing(address, attempt string, read *atomic.Int64) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window),
			)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, head(http.MethodGet, "/estado/relatorio-"+attempt, attempt, 0)); err != nil {
		return
	}
	if trouble {
		time.Sleep(time.Hour) // this process ends before that
		_ = conn.Close()      // not reached; it keeps the connection open until then
		return
	}
	if n, _ := io.CopyN(io.Discard, conn, longAnswer); n == longAnswer {
		read.Add(1)
	}
	_, _ = io.Copy(io.Discard, conn)
}
