// Package enginewatch reads load reports and cache events of model engines and
// shares them among the instances that route to those engines.
//
// A Plan, computed alike by every instance from the lists of instances and
// servers, says which instances route to a server and in which order they are
// its reader. The first reads the engine and sends digests to the others; when
// it falls silent the next one takes over. Core holds these decisions without
// I/O; Watch runs them.
package enginewatch
