package platform

import "sync"

// Counts are the calls of one caller and the rows and bytes that they accessed.
type Counts struct {
	ReadCalls  int64
	ReadRows   int64
	WriteCalls int64
	WriteRows  int64
	Bytes      int64 // keys and values read and written
	Refused    int64 // calls rejected because of a fault or a rate limit
}

// add returns the sum of two counts.
func (c Counts) add(o Counts) Counts {
	return Counts{
		ReadCalls:  c.ReadCalls + o.ReadCalls,
		ReadRows:   c.ReadRows + o.ReadRows,
		WriteCalls: c.WriteCalls + o.WriteCalls,
		WriteRows:  c.WriteRows + o.WriteRows,
		Bytes:      c.Bytes + o.Bytes,
		Refused:    c.Refused + o.Refused,
	}
}

type counterKey struct {
	caller string
	iface  Interface
}

type counters struct {
	mu sync.Mutex
	by map[counterKey]Counts
}

func (c *counters) init() { c.by = make(map[counterKey]Counts) }

func (c *counters) add(caller string, iface Interface, n Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := counterKey{caller, iface}
	c.by[key] = c.by[key].add(n)
}

func (c *counters) refused(caller string, iface Interface) {
	c.add(caller, iface, Counts{Refused: 1})
}

// Counts returns the counts of one caller at an interface since the last
// ResetCounts. If caller is empty, it returns the sum over all callers.
func (p *Platform) Counts(caller string, iface Interface) Counts {
	p.counts.mu.Lock()
	defer p.counts.mu.Unlock()
	var sum Counts
	for key, n := range p.counts.by {
		if key.iface == iface && (caller == "" || key.caller == caller) {
			sum = sum.add(n)
		}
	}
	return sum
}

// ResetCounts sets every count to zero.
func (p *Platform) ResetCounts() {
	p.counts.mu.Lock()
	defer p.counts.mu.Unlock()
	clear(p.counts.by)
}
