// Package streamorigin keeps which version of a service's software began a stream, so that the
// stream goes on at that version only, at any instance and after restarts of all of them. See
// docs/design/0108-stream-versions.md.
//
// The store holds one base row per service, and a record for each stream that did not begin at
// the base version. A stream without a record began at the base version.
package streamorigin
