// Package fanout lets the instances of an availability zone follow the store's
// tables through a few of them, its sources, so that what all instances ask of the
// store does not grow with their number. A source reads the store itself and
// answers the others from its copy, with the age of its proof. An instance that
// finds no fit source reads the store itself, at once. Where the store turns an
// instance away, another one that hears the store stands in for it.
package fanout
