package platform

import "sync"

// Counts are the calls of one caller, by what they cost the platform.
type Counts struct {
	ReadCalls  int64
	ReadRows   int64
	WriteCalls int64
	WriteRows  int64
	Bytes      int64 // keys and values read and written
	Refused    int64 // calls refused by a fault or a limit
}

// add sums two counts.
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
	face   Interface
}

type counters struct {
	mu sync.Mutex
	by map[counterKey]Counts
}

func (c *counters) init() { c.by = make(map[counterKey]Counts) }

func (c *counters) add(caller string, face Interface, n Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := counterKey{caller, face}
	c.by[key] = c.by[key].add(n)
}

func (c *counters) refused(caller string, face Interface) {
	c.add(caller, face, Counts{Refused: 1})
}

// Counts returns what one caller cost an interface since the last ResetCounts.
// An empty caller means all of them together.
func (p *Platform) Counts(caller string, face Interface) Counts {
	p.counts.mu.Lock()
	defer p.counts.mu.Unlock()
	var sum Counts
	for key, n := range p.counts.by {
		if key.face == face && (caller == "" || key.caller == caller) {
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
