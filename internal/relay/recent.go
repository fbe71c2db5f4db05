package relay

// recentIDs is the number of notice ids that are remembered.
const recentIDs = 4096

// recent remembers the newest ids.
type recent struct {
	order []([idBytes]byte) // ring of ids
	next  int
	known map[[idBytes]byte]struct{}
}

func newRecent(size int) *recent {
	return &recent{order: make([][idBytes]byte, 0, size), known: make(map[[idBytes]byte]struct{}, size)}
}

// add remembers an id and reports whether it is new.
func (r *recent) add(id [idBytes]byte) bool {
	if _, ok := r.known[id]; ok {
		return false
	}
	r.known[id] = struct{}{}
	if len(r.order) < cap(r.order) {
		r.order = append(r.order, id)
		return true
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % cap(r.order)
	return true
}
