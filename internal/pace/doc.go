// Package pace learns how fast backend servers are from their answers alone: how late the
// events of their streams are, how fast each server is relative to the others of its
// service, and how fast engines prefill prompts.
//
// Each instance keeps exponentially decayed sums of its own observations per run of a server
// process, and publishes those that are new. The sums of all instances are added, so that an
// instance that sees few requests knows as much as all of them together.
package pace
