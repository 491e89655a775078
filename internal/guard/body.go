package guard

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// firstPieceBytes and pieceBytes are the sizes of the pieces in which a body is kept. A
	// growing buffer would take up to three times the size.
	firstPieceBytes = 4 << 10
	pieceBytes      = 32 << 10
	// abandonTimeout is how long net/http may read the rest of a body after the response, so that
	// the caller gets the response before the connection is closed. It reads up to 256 KiB, and
	// without a deadline waits for them for good.
	abandonTimeout = 500 * time.Millisecond
)

// ReadBody reads the body of a request in pieces. It reserves the memory for a body with a length
// before it reads, and for others before each piece. After ErrNoMemory and ErrTooLarge the rest of
// the body has not been read, and the connection should be closed. Once a body without
// trailers has been read, only its size is reserved. A limit of 0 means no limit.
func ReadBody(r *http.Request, limit int64) (body [][]byte, err error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	reserved, size := r.ContentLength, int64(0)
	if r.ContentLength < 0 {
		reserved = chunkedBytes
	}
	if reserved > 0 && !reserve(r.Context(), reserved) {
		return nil, ErrNoMemory
	}
	for next := firstPiece(r.ContentLength); ; next = pieceBytes {
		if r.ContentLength >= 0 {
			next = min(next, r.ContentLength-size)
		} else if reserved += next; !reserve(r.Context(), next) {
			return nil, ErrNoMemory
		}
		piece, err := readPiece(r.Body, next)
		size += int64(len(piece))
		if len(piece) > 0 {
			body = append(body, fit(piece))
		}
		switch {
		case limit > 0 && size > limit:
			return nil, ErrTooLarge
		case err == io.EOF && size < r.ContentLength:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF || err == nil && size == r.ContentLength:
			if len(r.Trailer) == 0 {
				unreserve(r.Context(), reserved-size)
			}
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// readPiece reads up to size bytes. Unlike io.ReadFull, it returns the error of the reader where
// the body ends within the piece, so that one that has been cut off is not taken for complete.
func readPiece(body io.Reader, size int64) (piece []byte, err error) {
	piece = make([]byte, size)
	n := 0
	for err == nil && n < len(piece) {
		var more int
		more, err = body.Read(piece[n:])
		n += more
	}
	return piece[:n], err
}

// fit returns a piece in memory of its size.
func fit(piece []byte) []byte {
	if len(piece) == cap(piece) {
		return piece
	}
	return bytes.Clone(piece)
}

// firstPiece returns the size of the first piece of a body, of which the length is -1 if unknown.
func firstPiece(length int64) int64 {
	if length < 0 {
		return firstPieceBytes
	}
	return min(length, pieceBytes)
}

// BodySettings configures Bodies. All fields are required.
type BodySettings struct {
	Handler http.Handler
	// Factor is the memory that the handler takes for each byte of a body, for example to
	// decode it.
	Factor int64
	// Timeout bounds the time to read a body.
	Timeout time.Duration
	Clock   func() time.Time
}

// Bodies returns a handler whose bodies are counted while they are read. It refuses a request
// whose declared body has no memory with status 503, and makes the handler's reads fail where
// there is no memory for the next bytes.
func Bodies(s BodySettings) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(s.Clock().Add(s.Timeout)) // not every writer supports deadlines
			body := &countedBody{ReadCloser: r.Body, control: control, request: r, factor: s.Factor, reserved: max(r.ContentLength, 0)}
			if !reserve(r.Context(), body.reserved*s.Factor) {
				Refuse(w, s.Clock())
				return
			}
			r.Body = body
		}
		s.Handler.ServeHTTP(w, r)
	})
}

// Abandon has the connection closed after the response, because the rest of the body will not be
// read. It must be called before the header of the response is written.
func Abandon(w http.ResponseWriter, now time.Time) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(abandonTimeout)) // not every writer supports deadlines
}

// Refuse writes the refusal of a request for which there is no memory, and abandons its body.
func Refuse(w http.ResponseWriter, now time.Time) {
	Abandon(w, now)
	w.Header().Set("Retry-After", strconv.FormatFloat(RetryAfter().Seconds(), 'f', 2, 64))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, refusalBody) // fails if the caller has disconnected
}

// countedBody reserves memory for what is read beyond the bytes that are reserved. The deadline
// for reads ends with the body.
type countedBody struct {
	io.ReadCloser
	control  *http.ResponseController
	request  *http.Request
	factor   int64
	reserved int64
	size     int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	b.size += int64(n)
	if b.size > b.reserved {
		if !reserve(b.request.Context(), (b.size-b.reserved)*b.factor) {
			return 0, ErrNoMemory
		}
		b.reserved = b.size
	}
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
