package route

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Request holds what the router knows of a caller's request.
type Request struct {
	ID       id.Request
	Service  id.Service
	Customer id.Customer
	// Once marks a request that must run at most once.
	Once bool
	// Key extends Once to all hosts: of all requests of the customer with the
	// same key, at most one is sent. It is empty if the caller gave no key.
	Key string
	// Deadline is the latest time at which the caller accepts the final answer;
	// zero means that only the service's timeout applies.
	Deadline unit.Instant
}

// Outcome is the result of an attempt, as far as this host knows it.
type Outcome string

// The outcomes of an attempt.
const (
	// Complete means that the backend server's complete answer arrived.
	Complete Outcome = "whole"
	// NotSent means that nothing was sent, because there was no connection.
	NotSent Outcome = "unreached"
	// Busy means that the backend server refused the request because it has no
	// free slot; nothing ran.
	Busy Outcome = "busy"
	// Leaving means that the backend server refused the request because it is
	// about to stop; nothing ran.
	Leaving Outcome = "leaving"
	// Broken means that the request was sent but no complete answer came back.
	Broken Outcome = "broken"
)

// Attempt identifies one transmission of a request to a backend server.
type Attempt struct {
	Request id.Request
	Service id.Service
	// Number counts the attempts of the request from 1.
	Number  int
	Backend id.Backend
	// Deadline is when the attempt must be aborted.
	Deadline unit.Instant
}

// Result is the end of an attempt.
type Result struct {
	Attempt
	Outcome Outcome
	// Load is the number of slots in use as the backend server reported it; -1
	// if it reported none.
	Load int
	// Took is the time from the sending of the request to the end of the
	// answer.
	Took time.Duration
}

// Ran tells a caller whether its request ran.
type Ran string

// The values of Ran, as they appear in answers to callers.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code is the stable, machine-readable code of a refusal.
type Code string

// The codes that callers see.
const (
	CodeNoService   Code = "unknown-service"
	CodeNoCustomer  Code = "unknown-customer"
	CodeQueueFull   Code = "queue-full"
	CodeTooLate     Code = "deadline-too-close"
	CodeNoBackend   Code = "no-backend"
	CodeLogDown     Code = "log-unavailable"
	CodeKeyTaken    Code = "key-in-use"
	CodeStopping    Code = "host-stopping"
	CodeNotReady    Code = "host-not-ready"
	CodeInterrupted Code = "answer-lost"
	CodeTimeout     Code = "timeout"
)

// Reply is the final answer to a request.
type Reply struct {
	Request id.Request
	// RelayedAttempt is the number of the attempt whose answer is forwarded to
	// the caller; 0 for a refusal.
	RelayedAttempt int
	// Code, Ran and RetryAfter describe a refusal.
	Code       Code
	Ran        Ran
	RetryAfter time.Duration
}

// Claim asks the log to record that a request claims its idempotency key, so that
// no other request with the key is sent.
type Claim struct {
	Request  id.Request
	Customer id.Customer
	Key      string
	// Release is set to release the key again, because no attempt of the request
	// can have run.
	Release bool
}

// Probe asks a backend server whether it accepts requests. Its end is passed to
// Probed with the outcome Complete, Leaving or NotSent.
type Probe struct {
	Service id.Service
	Backend id.Backend
}

// LeavingEvidence is first-hand evidence that a backend server is leaving: its
// own answer to a request or a probe.
type LeavingEvidence struct {
	Service id.Service `cbor:"1,keyasint"`
	Backend id.Backend `cbor:"2,keyasint"`
	// Age is how long ago the evidence was obtained.
	Age time.Duration `cbor:"3,keyasint"`
}

// Actions are what the router's caller has to carry out.
type Actions struct {
	Sends   []Attempt
	Probes  []Probe
	Replies []Reply
	Claims  []Claim
}
