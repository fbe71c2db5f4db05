package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
)

const (
	// uncountedBytes are the first bytes of a body, an answer or an event, which do not
	// count against Options.BufferBytes.
	uncountedBytes = 8 << 10
	// pieceBytes is the size of the pieces in which larger ones are read.
	pieceBytes = 32 << 10
	// bodyShare is the percentage of Options.BufferBytes that callers' bodies may bring its
	// use to, so that answers to requests that were accepted have room left.
	bodyShare   = 75
	answerShare = 100
	// memoryRetryAfter is the Retry-After of a refusal for lack of memory.
	memoryRetryAfter = time.Second
)

var (
	errNoMemory = errors.New("the memory for the bytes of requests is in use")
	errStalled  = errors.New("the server sent nothing for a while and others need the memory of its unfinished answer")
)

// pieces are bytes that were read piece by piece.
type pieces [][]byte

// writeTo writes the pieces.
func (p pieces) writeTo(w io.Writer) error {
	for _, piece := range p {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

func (p pieces) size() int64 {
	var n int64
	for _, piece := range p {
		n += int64(len(piece))
	}
	return n
}

// readPieces reads up to limit bytes, as long as the holder has room for them. It returns
// io.EOF at the end of r, and nil if it stopped before that.
func readPieces(r io.Reader, holder *bytebudget.Holder, limit int64) (pieces, error) {
	var read pieces
	size := int64(uncountedBytes)
	for total := int64(0); total < limit; size = pieceBytes {
		if total > 0 && !holder.Grow(size) {
			return read, nil
		}
		piece, err := readPiece(r, min(size, limit-total))
		read = append(read, piece)
		total += int64(len(piece))
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

// readPiece reads size bytes, or less if there is an error. Unlike io.ReadFull it returns
// the reader's own error, which tells a complete answer from a truncated one.
func readPiece(r io.Reader, size int64) ([]byte, error) {
	piece := make([]byte, 0, size)
	for len(piece) < cap(piece) {
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}
