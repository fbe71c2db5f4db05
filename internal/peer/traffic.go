package peer

import "github.com/quic-go/quic-go"

// udpHeaderBytes is the size of the UDP and IPv4 headers of a packet.
const udpHeaderBytes = 28

// Traffic counts the packets and bytes on all connections of a node since its
// start, including UDP and IPv4 headers.
type Traffic struct {
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.BytesSent += s.BytesSent + udpHeaderBytes*s.PacketsSent
	t.BytesReceived += s.BytesReceived + udpHeaderBytes*s.PacketsReceived
	t.PacketsSent += s.PacketsSent
	t.PacketsReceived += s.PacketsReceived
}

// Traffic returns the counts, including those of closed connections.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.endedTraffic
	for conn := range n.open {
		total.add(conn.ConnectionStats())
	}
	return total
}
