package peer

import "sync"

// Handler handles a message from an authenticated peer. It must not block,
// because it delays later messages from the same peer.
type Handler func(from string, m Message)

// RequestHandler handles a request from an authenticated peer and returns the
// reply. An error closes the stream without a reply.
type RequestHandler func(from string, m Message) (Message, error)

// handlers holds the functions registered per kind.
type handlers struct {
	mu       sync.RWMutex
	messages map[Kind]Handler
	requests map[Kind]RequestHandler
}

// Handle registers the handler for a kind of message. Messages of a kind
// without a handler are ignored.
func (n *Node) Handle(kind Kind, h Handler) {
	n.handlers.mu.Lock()
	defer n.handlers.mu.Unlock()
	if n.handlers.messages == nil {
		n.handlers.messages = make(map[Kind]Handler)
	}
	n.handlers.messages[kind] = h
}

// HandleRequest registers the handler for a kind of request. Requests of a
// kind without a handler are closed without a reply.
func (n *Node) HandleRequest(kind Kind, h RequestHandler) {
	n.handlers.mu.Lock()
	defer n.handlers.mu.Unlock()
	if n.handlers.requests == nil {
		n.handlers.requests = make(map[Kind]RequestHandler)
	}
	n.handlers.requests[kind] = h
}

func (h *handlers) message(kind Kind) Handler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.messages[kind]
}

func (h *handlers) request(kind Kind) RequestHandler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.requests[kind]
}
