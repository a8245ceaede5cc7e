// Package route takes requests from callers to backend servers.
//
// Every request gets exactly one final answer: the whole answer of a backend
// server, a refusal that says truthfully that nothing ran, or the statement that
// it is unknown whether it ran. A request is retried only if it is certain that
// nothing ran or if it may be repeated, and only within the retry budget. A request
// that must not be repeated is sent at most once, and, if its caller gave it a key,
// only after the log accepted this host's claim of the key.
//
// The router sees nothing of the requests but their headers, and never waits: it is
// told what happened and answers with what to do.
package route
