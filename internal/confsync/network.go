package confsync

// Network carries messages to other instances.
type Network interface {
	// Neighbours returns the instances that a message is passed on to.
	Neighbours() []string
}
