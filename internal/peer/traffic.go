package peer

import "github.com/quic-go/quic-go"

// udpHeaderBytes is what UDP and IPv4 add to a packet.
const udpHeaderBytes = 28

// Traffic counts what went over all connections of a node so far, with the
// headers of UDP and IPv4.
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

// Traffic returns the counts, those of ended connections included.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.ended
	for conn := range n.open {
		total.add(conn.ConnectionStats())
	}
	return total
}
