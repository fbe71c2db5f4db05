package peer

import "sync"

// Handler takes a message from an authenticated peer. It must not block: the
// peer's later messages wait for it.
type Handler func(from string, m Message)

// RequestHandler answers a request from an authenticated peer. An error closes
// the stream without an answer.
type RequestHandler func(from string, m Message) (Message, error)

// handlers holds the functions registered per kind.
type handlers struct {
	mu       sync.RWMutex
	messages map[Kind]Handler
	requests map[Kind]RequestHandler
}

// Handle registers the handler of a kind of messages. Messages of kinds
// without a handler are ignored.
func (n *Node) Handle(kind Kind, h Handler) {
	n.handlers.mu.Lock()
	defer n.handlers.mu.Unlock()
	if n.handlers.messages == nil {
		n.handlers.messages = make(map[Kind]Handler)
	}
	n.handlers.messages[kind] = h
}

// HandleRequest registers the handler of a kind of requests.
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
