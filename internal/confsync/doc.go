// Package confsync replicates the operators' configuration to all instances.
// The table service holds the text, one row per key, one row per drained
// availability zone, a head row with the version, and a change log with one
// entry per version. A commit is a compare-and-set on the head row, so
// versions increase by one and never fork. Instances receive changes by push
// from their peers; polling the head row repairs what a push missed.
package confsync
