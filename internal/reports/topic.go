package reports

import "fmt"

// Topic is a kind of state that instances exchange beside their loads. Each instance
// publishes its own state, and receives that of every other one. The methods must be safe
// for concurrent use, must not block, and must not call the hub.
type Topic interface {
	// Name identifies the topic in snapshots. All instances must use the same name.
	Name() string
	// Collect returns this instance's encoded state. It is called for each snapshot, and
	// returns nil if the state that it returned last is still valid.
	Collect() []byte
	// Apply replaces the state of an instance. It is called once for each snapshot with
	// state, in the order in which the origin took them.
	Apply(origin Origin, state []byte) error
	// Forget drops the state of an instance that has been silent for too long or has
	// restarted.
	Forget(origin Origin)
}

// Origin identifies one run of an instance.
type Origin struct {
	Instance    string
	Incarnation uint64 // random; identifies the start
}

// maxTopicBytes bounds the encoded state of one topic in a snapshot.
const maxTopicBytes = 32 << 10

// collectTopics returns the encoded state of the topics that have news. It returns nil if
// none has.
func (h *Hub) collectTopics() map[string][]byte {
	var states map[string][]byte
	for _, t := range h.topics {
		state := t.Collect()
		if len(state) == 0 || len(state) > maxTopicBytes {
			continue
		}
		if states == nil {
			states = map[string][]byte{}
		}
		states[t.Name()] = state
	}
	return states
}

// applyTopics passes the state in a snapshot on to the topics. It returns the first error.
func (h *Hub) applyTopics(s Snapshot) error {
	var first error
	for _, t := range h.topics {
		state := s.Topics[t.Name()]
		if len(state) == 0 || len(state) > maxTopicBytes {
			continue
		}
		if err := t.Apply(s.origin(), state); err != nil && first == nil {
			first = fmt.Errorf("apply topic %q of instance %s: %w", t.Name(), s.Origin, err)
		}
	}
	return first
}

func (h *Hub) forgetTopics(gone []Origin) {
	for _, origin := range gone {
		for _, t := range h.topics {
			t.Forget(origin)
		}
	}
}

func (s *Snapshot) origin() Origin { return Origin{Instance: s.Origin, Incarnation: s.Incarnation} }

// mergeTopics returns the topics of two snapshots of one incarnation, of which the later
// one has precedence.
func mergeTopics(earlier, later map[string][]byte) map[string][]byte {
	if len(earlier) == 0 {
		return later
	}
	merged := make(map[string][]byte, len(earlier)+len(later))
	for name, state := range earlier {
		merged[name] = state
	}
	for name, state := range later {
		merged[name] = state
	}
	return merged
}
