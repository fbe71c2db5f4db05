// Package placement combines admission and routing: it decides which waiting
// request starts on which backend server, and which one is refused. It does no
// I/O: every method takes the current time, nothing blocks, and outcomes are
// reported to the job's Listener.
package placement
