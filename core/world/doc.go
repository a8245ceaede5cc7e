// Package world simulates a site under core/dispatch in virtual time: its
// workers, its metadata store, and the hosts, of which one is the owner.
//
// The scheduling code is the production code: the owner of a World is a
// dispatch.Dispatcher, and election.Election decides which host becomes the
// owner. The simulation models their environment:
//
//   - Workers run tasks at their own speeds, under leases that are measured by
//     their own clocks. They fail, leave, stop communicating, execute orders
//     late and come back as a new incarnation.
//   - The store serializes appends, and each takes time. It can be slow or
//     unavailable.
//   - The owner's processor does one item of work at a time: a scheduling pass,
//     an answer or an order. When it is overloaded, work queues up and leases
//     expire in the meantime.
//   - Hosts poll the group of live hosts, claim the ownership, and take over
//     from the records in the store.
//   - Callers ask the hosts about jobs. Each host answers from a table of its own
//     that lags behind the store, by the rules of core/freshness.
//
// A World checks invariants that hold for every scheduling policy: no task runs
// twice, no worker holds more than its capacity, a gang runs as a whole or not
// at all, no step starts before those that it depends on, and no task fails
// more often than it has attempts. It compares each answer about jobs with what
// callers have sent and what workers have begun. Violations lists the invariants that did not
// hold. All randomness derives from the seed and from names, so that runs under
// different policies meet the same failures.
package world
