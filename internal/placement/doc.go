// Package placement joins admission and routing: it decides which waiting request
// starts on which backend server, and which one is refused. It is pure: every
// method takes the time, nothing blocks, and outcomes go to the job's Listener.
package placement
