// Package world is a model in virtual time of a site under core/dispatch: workers, the store,
// and the hosts of which one is the owner.
//
// The decisions are the product's own: the owner of a World is a dispatch.Dispatcher, and who
// becomes the owner is decided by election.Election. The model stands for what is around them:
//
//   - Workers run tasks at a speed of their own under leases by their own clocks; they fail,
//     leave, fall silent, carry orders out late and come back as another life.
//   - The store takes appends in turn, each after a time; it may be slow or away.
//   - The owner's processor does one thing after the other: a pass, an answer, an order. What it
//     can't keep up with waits, and leases run out meanwhile.
//   - Hosts look at the group of live hosts, claim and take over from the store's records.
//
// A World checks what must hold whatever is decided: no task runs twice, no worker holds more
// than its capacity, a gang runs whole or not at all, no step before those it depends on, no
// more failures than attempts. What was broken is listed by Violations. All chance follows from
// the seed and from names, so that runs under different policies meet the same failures.
package world
