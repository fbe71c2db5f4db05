package relay

// maxRecentIDs bounds the number of notice ids kept to detect duplicates.
const maxRecentIDs = 4096

// idSet holds the most recent ids. When it is full, adding an id evicts the
// oldest.
type idSet struct {
	ring    []([idBytes]byte) // ring buffer, in order of insertion
	next    int
	members map[[idBytes]byte]struct{}
}

func newIDSet(size int) *idSet {
	return &idSet{ring: make([][idBytes]byte, 0, size), members: make(map[[idBytes]byte]struct{}, size)}
}

// add adds an id and reports whether it was absent.
func (s *idSet) add(id [idBytes]byte) bool {
	if _, ok := s.members[id]; ok {
		return false
	}
	s.members[id] = struct{}{}
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, id)
		return true
	}
	delete(s.members, s.ring[s.next])
	s.ring[s.next] = id
	s.next = (s.next + 1) % cap(s.ring)
	return true
}
