// Package e2e holds end-to-end tests that run instances as separate operating
// system processes on loopback, before stand-ins in the test process.
package e2e
