// Package record defines the records that the system writes to the platform's log.
//
// One record of the log holds one batch of entries from one writer. A batch has a
// checksum, by which damage is detected, and a version. Decoding is strict, so that
// a host which doesn't know a newer kind of entry stops deciding instead of skipping
// the entry.
//
// A writer has at most one batch in flight. It appends the same bytes again until it
// has read them back from the log. If an append took effect but its answer was lost,
// the second copy is recognized as a duplicate by its sequence number. A batch whose
// basis is too old is void, however late the log delivers it.
package record
