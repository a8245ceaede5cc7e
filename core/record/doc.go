// Package record defines what the system writes to the platform's log.
//
// One record of the log holds one batch of entries from one writer. A batch is
// framed by a checksum, so damage is recognized, and by a version and strict
// decoding, so that a host which doesn't understand a newer entry stops deciding
// instead of skipping it.
//
// A writer has at most one batch under way. It appends the same bytes again until
// it has read them back, so an append that took effect while its answer was lost
// is seen as a duplicate by its sequence number. A batch whose basis is too old is
// void however late the log delivers it.
package record
