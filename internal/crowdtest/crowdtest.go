// Package crowdtest opens crowds of misbehaving clients against a listener and checks what
// they make the process hold. Tests that use it must not run beside others.
package crowdtest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Clients is the number of connections of one crowd.
const Clients = 500

// Bounds on what the server's side of one crowd may add to the process.
const (
	MaxHeapBytes   = 24 << 20
	MaxDescriptors = 300
	MaxGoroutines  = 400
)

const (
	settleTime   = 100 * time.Millisecond
	samples      = 4
	writers      = 50
	writeTimeout = 100 * time.Millisecond
	endTimeout   = 20 * time.Second
	endSlack     = 25 // goroutines that may remain after a crowd, such as idle transports'
)

// Run opens the crowd against the address, checks the bounds while all its connections are
// open, requires that serve answers one ordinary request, and that nothing remains after the
// crowd has left.
func Run(t *testing.T, address string, k Kind, serve func() error) {
	t.Helper()
	before := measure()
	clients := dial(t, address)
	for round := range k.rounds() {
		write(clients, func(i int) []byte { return k.Text(i, round) })
	}
	peak := usage{}
	for range samples {
		time.Sleep(settleTime)
		peak = peak.max(measure().less(before))
	}
	peak.descriptors -= len(clients) // those of the crowd's own side
	t.Logf("%s: heap and stacks %d KB, descriptors %d, goroutines %d", k.Name, peak.heap>>10, peak.descriptors, peak.goroutines)
	if peak.heap > MaxHeapBytes || peak.descriptors > MaxDescriptors || peak.goroutines > MaxGoroutines {
		t.Errorf("%s: above the bounds of %d KB, %d descriptors, %d goroutines", k.Name, MaxHeapBytes>>10, MaxDescriptors, MaxGoroutines)
	}
	if err := serve(); err != nil {
		t.Errorf("%s: the ordinary request was not answered: %v", k.Name, err)
	}
	for _, c := range clients {
		_ = c.Close()
	}
	awaitEnd(t, k, before)
}

// write writes each client's text, with several writers, because a server may stop reading.
func write(clients []net.Conn, text func(client int) []byte) {
	var running sync.WaitGroup
	for w := range writers {
		running.Go(func() {
			for i := w; i < len(clients); i += writers {
				_ = clients[i].SetWriteDeadline(time.Now().Add(writeTimeout))
				_, _ = clients[i].Write(text(i)) // the server may have closed it
			}
		})
	}
	running.Wait()
}

func dial(t *testing.T, address string) []net.Conn {
	t.Helper()
	var clients []net.Conn
	t.Cleanup(func() {
		for _, c := range clients {
			_ = c.Close()
		}
	})
	for range Clients {
		c, err := net.DialTimeout("tcp", address, endTimeout)
		if err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
	}
	return clients
}

// awaitEnd waits until the goroutines of the crowd's connections have ended.
func awaitEnd(t *testing.T, k Kind, before usage) {
	t.Helper()
	for end := time.Now().Add(endTimeout); ; time.Sleep(settleTime) {
		left := measure().less(before)
		if left.goroutines <= endSlack && left.descriptors <= endSlack {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: %d goroutines and %d descriptors remain", k.Name, left.goroutines, left.descriptors)
		}
	}
}
