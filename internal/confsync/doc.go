// Package confsync keeps the operators' configuration the same on all
// instances.
//
// The table service holds the text, one row per key, one row per availability
// zone taken out, a head row with the version, and a change log with one entry
// per version. A commit is a compare-and-set on the head row, so versions rise
// by one and never fork. Instances learn of changes by push from their peers
// and repair what they missed by polling the head row.
package confsync
