// Package reports lets instances tell one another what they have on each backend
// server, which prompts they sent there, and which requests ran on servers that
// crashed, several times a second. Instances that read the platform's store (readers)
// tell all other readers; an instance that follows a source (fanout) tells that one,
// and hears of all others from it. What is told is a hint: it is lost without harm,
// and stale loads fade.
package reports
