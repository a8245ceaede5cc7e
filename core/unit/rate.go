package unit

// MegabitsPerSecond is the data rate of a network link.
type MegabitsPerSecond float64
