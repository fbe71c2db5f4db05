// Package fanout lets the instances of an availability zone follow the store's tables
// through a few of them, the sources, so that the load on the store does not grow with
// the number of instances:
//
//	store <-- source <-- other instances of the zone
//	store <-- instance without an available source
//
// A source reads the store itself and serves its copy together with the age of the
// data. An instance without an available source reads the store directly. When the
// store rejects an instance in a zone without sources, another instance that still
// reaches the store serves as its proxy for a time.
package fanout
