// Package balance chooses backend servers for the requests of HTTP routes. A
// request prefers the server that probably caches its prompt's prefix, as long as
// the prefill work pending there costs less than prefilling the prefix elsewhere.
// Requests that find no server wait in a queue, ordered by priority and shared
// fairly between organisations.
//
// Decisions are pure: they take the time as an argument and never block. Acquire is
// the blocking wrapper around them.
package balance
