package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// firstRetransmission is the first retransmission timeout of TCP on a short path; each further one
// is twice as long.
const firstRetransmission = 200 * time.Millisecond

// link is a TCP proxy in front of one server. While it is cut, no byte passes in either direction,
// and a new connection carries nothing. What was written to an open connection, and its end, comes
// after the cut, when TCP would send it again.
type link struct {
	listener net.Listener

	mu       sync.Mutex
	target   string
	cutting  bool
	healedAt time.Time
	healed   chan struct{} // closed when the cut ends
}

func newLink() (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// lead sets where new connections lead to.
func (k *link) lead(target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = target
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutting, k.healed = true, make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutting, k.healedAt = false, time.Now()
	close(k.healed)
}

func (k *link) state() (cutting bool, healed chan struct{}, target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cutting, k.healed, k.target
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(near net.Conn) {
	defer near.Close()
	cutting, _, target := k.state()
	if cutting {
		_, _ = io.Copy(io.Discard, near)
		return
	}
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	var both sync.WaitGroup
	both.Go(func() { k.pump(far, near) })
	both.Go(func() { k.pump(near, far) })
	both.Wait()
}

// written is what a sender wrote at one moment; no bytes mean that it closed its side.
type written struct {
	bytes []byte
	at    time.Time
	reset bool
}

// pump carries bytes, and their end, from one side to the other.
func (k *link) pump(to, from net.Conn) {
	queue := make(chan written, 1024)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				queue <- written{bytes: buffer[:n], at: time.Now()}
			}
			if err != nil {
				queue <- written{at: time.Now(), reset: !errors.Is(err, io.EOF)}
				return
			}
		}
	}()
	for w := range queue {
		k.await(w.at)
		switch tcp, ok := to.(*net.TCPConn); {
		case len(w.bytes) > 0:
			_, _ = to.Write(w.bytes)
		case ok && w.reset:
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		case ok:
			_ = tcp.CloseWrite()
		}
	}
}

// await waits until what was written at that time reaches the other side.
func (k *link) await(at time.Time) {
	cutting, healed, _ := k.state()
	if !cutting {
		return
	}
	<-healed
	k.mu.Lock()
	healedAt := k.healedAt
	k.mu.Unlock()
	for timeout := firstRetransmission; at.Before(healedAt); timeout *= 2 {
		at = at.Add(timeout)
	}
	time.Sleep(time.Until(at))
}
