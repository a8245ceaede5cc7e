package unit

// MegabitsPerSecond is what a network link carries.
type MegabitsPerSecond float64
