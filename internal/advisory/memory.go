package advisory

import "time"

const (
	// retention is how long a state is kept while its server is not listed.
	retention = 10 * time.Minute
	// maxKept bounds the number of states kept. The one to expire first is dropped.
	maxKept = 1024
)

// Memory keeps the states of servers that are not listed at present, so that a server
// whose entry lapses and returns is not forgotten meanwhile. K identifies an incarnation
// of a server. The zero value is empty. It is not safe for concurrent use.
type Memory[K comparable, T Clock[T]] struct {
	kept map[K]keptState[T]
}

type keptState[T Clock[T]] struct {
	state     *State[T]
	expiresAt T
}

// Keep keeps the state of a server that is no longer listed. The state may change
// afterwards, since answers may still arrive.
func (m *Memory[K, T]) Keep(now T, key K, s *State[T]) {
	if m.kept == nil {
		m.kept = map[K]keptState[T]{}
	}
	m.evict(now)
	m.kept[key] = keptState[T]{state: s, expiresAt: now.Add(retention)}
}

// Take returns the state of a server that is listed, and a new one if none is kept.
func (m *Memory[K, T]) Take(key K) *State[T] {
	k, ok := m.kept[key]
	if !ok {
		return &State[T]{}
	}
	delete(m.kept, key)
	return k.state
}

// evict drops expired states, and one more if there is no room for another.
func (m *Memory[K, T]) evict(now T) {
	var first K
	for key, k := range m.kept {
		if k.expiresAt.Before(now) {
			delete(m.kept, key)
			continue
		}
		if earliest, ok := m.kept[first]; !ok || k.expiresAt.Before(earliest.expiresAt) {
			first = key
		}
	}
	if len(m.kept) >= maxKept {
		delete(m.kept, first)
	}
}
