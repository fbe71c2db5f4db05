// Package reports exchanges load reports between instances several times a second:
// the load each instance has on every backend server, the prompts it sent there,
// and notices of requests that ran on servers that crashed. Reports are hints: a
// lost report does no harm, and stale loads expire.
//
// Instances that read the platform's table service directly (readers) exchange
// reports with all other readers. A follower, which reads tables from a source (see
// package fanout), exchanges reports only with that source and receives the loads
// of all other instances through it.
//
//	reader A <-----> reader B
//	  ^  ^
//	  |  +-----------+
//	  v              v
//	follower C     follower D
package reports
