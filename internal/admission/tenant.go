package admission

// tenant is an organisation's part of a class's queue.
type tenant[T any] struct {
	name        string
	weight      float64
	waiting     list[T]
	waitingCost float64 // sum of the waiting entries' costs
	// start is the virtual start time of the oldest entry: service received divided
	// by weight.
	start float64
	// surcharge is the moving average of what its requests use beyond their costs.
	surcharge float64
	// Positions in the class's heaps; -1 when nothing waits.
	startIndex, tailIndex int
	inIdleList            bool // in the class's list of idle tenants
}

const (
	// surchargeWeight is the weight of a new request in an organisation's
	// surcharge.
	surchargeWeight = 0.01
	// minChargeShare is the smallest part of a request's cost that is charged.
	minChargeShare = 0.1
)

// charge returns the virtual time that an entry costs its organisation.
func (t *tenant[T]) charge(e *Entry[T]) float64 {
	return max(e.Cost+t.surcharge, minChargeShare*e.Cost) / t.weight
}

// tail returns the virtual time at which the newest entry would end. It shows how
// far the organisation would be over its share if all its waiting requests ran.
func (t *tenant[T]) tail() float64 { return t.start + t.waitingCost/t.weight }

// byStart is a min-heap (container/heap) of tenants by virtual start.
type byStart[T any] []*tenant[T]

func (h byStart[T]) Len() int { return len(h) }

func (h byStart[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.waiting.head.Arrived.Before(b.waiting.head.Arrived)
}

func (h byStart[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].startIndex, h[j].startIndex = i, j
}

// Push implements heap.Interface.
func (h *byStart[T]) Push(x any) {
	t := x.(*tenant[T])
	t.startIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *byStart[T]) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.startIndex = -1
	return t
}

// byTail is a max-heap (container/heap) of tenants by virtual tail.
type byTail[T any] []*tenant[T]

func (h byTail[T]) Len() int           { return len(h) }
func (h byTail[T]) Less(i, j int) bool { return h[i].tail() > h[j].tail() }

func (h byTail[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].tailIndex, h[j].tailIndex = i, j
}

// Push implements heap.Interface.
func (h *byTail[T]) Push(x any) {
	t := x.(*tenant[T])
	t.tailIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *byTail[T]) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.tailIndex = -1
	return t
}
