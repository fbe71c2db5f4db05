// Package admission decides which waiting request starts next and which one is
// rejected under overload. It is pure: callers pass the time, and nothing blocks.
//
// A Queue serves one pool of backend servers. Its rules, in order:
//
//   - A class that is due by its floor starts first (see floors.go).
//   - Otherwise the highest tier starts first; classes of one tier alternate.
//   - Within a class, organisations share by weight (start-time fair queueing).
//   - When the queue is full, a request is evicted. It comes from the lowest
//     tier that has more requests waiting than its classes' guaranteed places,
//     there from the organisation furthest over its share, and is that
//     organisation's newest request.
//
// Every operation takes time logarithmic in the number of organisations.
package admission
