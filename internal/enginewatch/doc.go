// Package enginewatch reads load reports and cache events from model engines
// and shares them among the instances that route requests to these engines.
//
// A Plan says which instances route to a server and in which order they act as
// its reader. Every instance computes it from the lists of instances and
// servers, with the same result. The first reader polls the engine and sends
// digests to the others. If its updates stop arriving, the next one takes over.
// Core makes these decisions without I/O; Watch executes them.
package enginewatch
