package speed

// Class is the class of a worker by its speed, compared with the other workers
// of the site.
type Class uint8

// The classes.
const (
	// Unknown: too little was observed, or too long ago.
	Unknown Class = iota
	// Typical: the worker isn't shown to differ from most others.
	Typical
	// Fast and Slow: the worker is shown to be off by more than a fifth.
	Fast
	Slow
	// Classes is the number of classes.
	Classes
)

// Off reports whether a worker of the class is fast or slow.
func (c Class) Off() bool { return c == Fast || c == Slow }

// String returns the name of the class, which logs and metrics use.
func (c Class) String() string {
	return [...]string{"unknown", "typical", "fast", "slow"}[c]
}
