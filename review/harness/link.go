package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// minRetransmission is the first retransmission timeout of TCP on a short path; each
// further one is twice as long.
const minRetransmission = 200 * time.Millisecond

// link is a TCP proxy that models one machine's path to one address. While it is cut, no
// byte passes in either direction and new connections are not established. What a sender
// has written to an open connection stays in its send buffer and is retransmitted by TCP's
// timetable, unless the sender resets the connection.
type link struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	isCut    bool
	healedAt time.Time
	healed   chan struct{} // closed when the cut ends
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut, l.healed = true, make(chan struct{})
}

// heal ends the cut and returns the time.
func (l *link) heal() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut, l.healedAt = false, time.Now()
	close(l.healed)
	return l.healedAt
}

func (l *link) state() (cut bool, healed chan struct{}, healedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut, l.healed, l.healedAt
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(near net.Conn) {
	if cut, _, _ := l.state(); cut {
		// The opening packet is lost; the caller gives up before it is sent again.
		_, _ = io.Copy(io.Discard, near)
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pump(far, near) })
	both.Go(func() { l.pump(near, far) })
	both.Wait()
	_ = near.Close()
	_ = far.Close()
}

// segment is what a sender wrote at one moment; no data means that it closed.
type segment struct {
	data   []byte
	sentAt time.Time
}

// pump carries bytes from one side to the other.
func (l *link) pump(to, from net.Conn) {
	sent := make(chan segment, 1024)
	reset := make(chan struct{})
	go func() {
		defer close(sent)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				sent <- segment{buffer[:n], time.Now()}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					close(reset)
				}
				return
			}
		}
	}()
	for s := range sent {
		if !l.await(s.sentAt, reset) {
			break
		}
		if _, err := to.Write(s.data); err != nil {
			break
		}
	}
	select {
	case <-reset:
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = to.Close()
	default:
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
	for range sent {
		continue
	}
}

// await waits until a segment reaches the other side. It returns false if the sender has
// reset the connection before.
func (l *link) await(sentAt time.Time, reset chan struct{}) bool {
	cut, healed, _ := l.state()
	if !cut {
		return true
	}
	select {
	case <-healed:
	case <-reset:
		return false
	}
	_, _, healedAt := l.state()
	arrives := sentAt
	for timeout := minRetransmission; arrives.Before(healedAt); timeout *= 2 {
		arrives = arrives.Add(timeout)
	}
	timer := time.NewTimer(time.Until(arrives))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-reset:
		return false
	}
}
