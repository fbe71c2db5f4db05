// Package admission decides which waiting request starts next and which one is
// refused under overload. It is pure: callers pass the time, and nothing blocks.
//
// A Queue serves one pool of backend servers. Its rules, in order:
//
//   - A class whose floor is due starts first (see floors.go).
//   - Otherwise the highest tier starts first; classes of one tier alternate.
//   - Within a class, organisations share by weight (start-time fair queueing).
//   - When the queue is full, the victim comes from the lowest tier that waits
//     beyond its classes' own places, in it from the organisation furthest over
//     its share, in it the newest request.
//
// Every operation costs time logarithmic in the number of organisations.
package admission
