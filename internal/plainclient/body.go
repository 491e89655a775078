package plainclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"example.org/lagoonfork/internal/answermemory"
)

// pieceBytes is the size of the pieces in which a body of unknown length is kept. A buffer that grows
// would take more than twice the size.
const pieceBytes = 64 << 10

// Body is the body of a response, in pieces. In JSON it is a string in base64.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() (n int64) {
	for _, piece := range b {
		n += int64(len(piece))
	}
	return n
}

// Bytes returns a copy of the body in one piece.
func (b Body) Bytes() []byte { return bytes.Join(b, nil) }

// MarshalJSON implements json.Marshaler.
func (b Body) MarshalJSON() ([]byte, error) { return json.Marshal(b.Bytes()) }

// UnmarshalJSON implements json.Unmarshaler.
func (b *Body) UnmarshalJSON(data []byte) error {
	*b = Body{nil}
	return json.Unmarshal(data, &(*b)[0])
}

// readAll reads a body up to the size limit. The length is -1 if it is not known. The memory of the body
// is acquired before it is read, and given back if it cannot be read.
func (c *Client) readAll(ctx context.Context, in *responseReader, length int64) (body Body, err error) {
	if length > c.settings.MaxResponse {
		return nil, ErrTooLarge
	}
	if length >= 0 {
		body, err = in.readLength(ctx, length)
	} else {
		body, err = in.readPieces(ctx, c.settings.MaxResponse)
	}
	if err != nil {
		body = nil
	}
	in.memory.Release(in.acquired - body.Len())
	if err != nil && !errors.Is(err, ErrTooLarge) {
		return nil, fmt.Errorf("%w: %w", ErrResponseLost, contextCause(ctx, err))
	}
	return body, err
}

// responseReader reads the body of a response. It restarts the idle timer whenever data arrives.
type responseReader struct {
	body          io.Reader
	memory        *answermemory.Share
	memoryTimeout time.Duration
	acquired      int64 // of the memory
	idleTimer     *time.Timer
	idleTimeout   time.Duration
}

// Read implements io.Reader.
func (r *responseReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.idleTimer.Reset(r.idleTimeout)
	}
	return n, err
}

// readLength reads a body of the given length. A response to HEAD has a length and no body.
func (r *responseReader) readLength(ctx context.Context, length int64) (body Body, err error) {
	if err := r.acquire(ctx, length); err != nil {
		return nil, err
	}
	piece := make([]byte, length)
	n, err := io.ReadFull(r, piece)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return Body{piece[:n]}, err
}

// readPieces reads a body of unknown length up to the limit.
func (r *responseReader) readPieces(ctx context.Context, limit int64) (body Body, err error) {
	for size := int64(0); ; {
		piece, err := r.readPiece(ctx)
		body = append(body, piece)
		if size += int64(len(piece)); size > limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			body[len(body)-1] = bytes.Clone(piece) // without the memory that is not used
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readPiece reads the next piece of a body. The error is io.EOF at its end.
func (r *responseReader) readPiece(ctx context.Context) (piece []byte, err error) {
	if err := r.acquire(ctx, pieceBytes); err != nil {
		return nil, err
	}
	piece = make([]byte, pieceBytes)
	n := 0
	for err == nil && n < len(piece) {
		var more int
		more, err = r.Read(piece[n:])
		n += more
	}
	return piece[:n], err
}

// acquire waits for n bytes of memory. Meanwhile the upstream is not expected to send.
func (r *responseReader) acquire(ctx context.Context, n int64) error {
	r.idleTimer.Stop()
	defer r.idleTimer.Reset(r.idleTimeout)
	ctx, cancel := context.WithTimeoutCause(ctx, r.memoryTimeout, ErrNoMemory)
	defer cancel()
	if err := r.memory.Acquire(ctx, n); err != nil {
		return err
	}
	r.acquired += n
	return nil
}
