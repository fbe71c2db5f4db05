package peer

import (
	"net"
	"sync"
	"testing"
)

const (
	longHeaderBit    = 0x80 // set in packets of a handshake
	connectionIDSize = 4    // quic-go's default
)

// relay forwards UDP packets between one client and one server. After
// dropKnownConns, it drops client packets of connections that it has already
// seen and forwards new connections, like a firewall that lost its state.
type relay struct {
	front *net.UDPConn
	back  *net.UDPConn

	mu       sync.Mutex
	client   *net.UDPAddr
	known    map[string]bool // destination connection IDs seen before dropKnownConns
	silenced bool
}

func newRelay(t *testing.T, server net.Addr) *relay {
	t.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	back, err := net.DialUDP("udp", nil, server.(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{front: front, back: back, known: make(map[string]bool)}
	t.Cleanup(func() { _, _ = front.Close(), back.Close() })
	go r.toServer()
	go r.toClient()
	return r
}

func (r *relay) toServer() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.passes(buffer[:n], from) {
			_, _ = r.back.Write(buffer[:n])
		}
	}
}

func (r *relay) passes(packet []byte, from *net.UDPAddr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.client = from
	if packet[0]&longHeaderBit != 0 || len(packet) <= connectionIDSize {
		return true
	}
	id := string(packet[1 : 1+connectionIDSize])
	if !r.silenced {
		r.known[id] = true
	}
	return !r.silenced || !r.known[id]
}

func (r *relay) toClient() {
	buffer := make([]byte, 2048)
	for {
		n, err := r.back.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		client := r.client
		r.mu.Unlock()
		_, _ = r.front.WriteToUDP(buffer[:n], client)
	}
}

// dropKnownConns drops further client packets of the connections seen so far.
func (r *relay) dropKnownConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced = true
}
