// Package route forwards requests from callers to backend servers.
//
// Every request gets exactly one final answer: the complete answer of a backend
// server, a refusal which guarantees that nothing ran, or the statement that it
// is unknown whether the request ran. A request is retried only if it is
// certain that nothing ran or if it may be repeated, and only within the retry
// budget. A request that must not be repeated is never sent again once it may have
// run. If its caller gave it a key, it is sent only after the log accepted this
// host's claim of the key.
//
// The router sees only the headers of the requests and never blocks: its caller
// passes events to it and collects the resulting actions with Take.
package route
