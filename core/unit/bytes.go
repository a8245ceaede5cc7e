package unit

// Bytes is an amount of memory or data in bytes.
type Bytes int64

// The common multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)
