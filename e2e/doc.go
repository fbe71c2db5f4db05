// Package e2e holds end-to-end tests. They run instances as separate operating
// system processes on loopback, with stand-ins for the backend servers and the
// platform in the test process.
package e2e
