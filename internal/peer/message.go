// Package peer carries messages between instances over QUIC with mutual TLS.
// Messages to a peer share one stream, a sequence of CBOR envelopes. Each
// request and its reply have a stream of their own. Nothing is parsed before
// the TLS handshake has authenticated both sides. Unknown kinds and fields are
// ignored, so two adjacent releases can run side by side; ALPN rejects
// releases that are further apart.
package peer

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Kind identifies the content of a message. Values are stable.
type Kind uint16

// Kinds of messages.
const (
	KindHeartbeat     Kind = 1  // membership probe or update; the reply to a probe is of the same kind
	KindConfigDelta   Kind = 2  // changes of the configuration
	KindConfigState   Kind = 3  // request for the whole configuration
	KindWithdrawals   Kind = 4  // withdrawals of keys that may not be written yet
	KindRound         Kind = 5  // start of a round that proves the configuration current
	KindRoundEcho     Kind = 6  // merged answers to a round on their way to its root
	KindRoster        Kind = 7  // request for the member list behind a digest
	KindQuarantine    Kind = 16 // opaque: requests that crash backend servers
	KindUsage         Kind = 17 // opaque: replicated usage
	KindLoadDigest    Kind = 18 // opaque: load of backend servers
	KindColdSlots     Kind = 19 // opaque: slots of backend servers in cold start
	KindDemand        Kind = 21 // opaque: demand of an instance for each model
	KindServerSuspect Kind = 20 // opaque: backend servers with observed failures
)

// Message is the envelope of all messages between instances.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"` // encoded by the package that owns the kind
}

// Size limits of an encoded message.
const (
	MaxMessageBytes = 1 << 20 // message of Send or Request
	MaxReplyBytes   = 8 << 20 // reply to Request
)

const (
	maxNestedLevels  = 4
	maxArrayElements = 16
	maxMapPairs      = 32
)

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	options := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		TagsMd:           cbor.TagsForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the envelope of a message.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message of kind %d: %w", m.Kind, err)
	}
	return data, nil
}

// Decode parses an envelope. Unknown fields are ignored.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := decoding.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("decode message of %d bytes: %w", len(data), err)
	}
	return m, m.check()
}

func (m Message) check() error {
	if m.Kind == 0 {
		return fmt.Errorf("message with a body of %d bytes has no kind", len(m.Body))
	}
	return nil
}

// reader decodes messages from a stream. CBOR items are self-delimiting, so
// the stream needs no framing.
type reader struct {
	limited *io.LimitedReader
	decoder *cbor.Decoder
	limit   int64
}

func newReader(r io.Reader, limit int64) *reader {
	limited := &io.LimitedReader{R: r}
	return &reader{limited: limited, decoder: decoding.NewDecoder(limited), limit: limit}
}

// next returns the next message, or io.EOF at the end of the stream.
func (r *reader) next() (Message, error) {
	r.limited.N = r.limit
	var m Message
	if err := r.decoder.Decode(&m); err != nil {
		return Message{}, err
	}
	return m, m.check()
}
