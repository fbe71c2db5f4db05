// Package reports exchanges load reports between instances several times a second:
// the load of each instance on every backend server, the prompts it sent there, and
// notices of requests that ran on servers that crashed. Reports are hints: a lost
// report does no harm, and old loads expire.
//
// Instances that read the platform's table service directly are peers and subscribe to
// each other. A follower, which reads tables from a source (see package fanout),
// subscribes to that source alone and receives the loads of all other instances
// through it; the source subscribes to it in turn.
//
//	reader A <-----> reader B
//	  ^  ^
//	  |  +-----------+
//	  v              v
//	follower C     follower D
//
// Instances may disagree on these relations for a time, so loads may arrive by several
// ways, or round a circle. Each load therefore names its origin and is accepted only
// once; see Snapshot.
package reports
