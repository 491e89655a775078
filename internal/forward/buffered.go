package forward

import (
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/exchange"
)

// forwardBuffered reads a response that is not a stream completely and forwards it.
// A 5xx response is kept in t.serverError instead. A 503, 429 or 408 is dropped: to the caller it
// means that the request has not run, which the upstream did not say.
func (t *transfer) forwardBuffered(response *exchange.Response) error {
	switch response.Status {
	case http.StatusTooManyRequests, http.StatusRequestTimeout:
		response.Drain(maxDrainBytes, drainTimeout)
		return merry.Prependf(errRefused, "status %d", response.Status)
	case http.StatusServiceUnavailable:
		response.Drain(maxDrainBytes, drainTimeout)
		return merry.Prependf(errServerError, "status %d", response.Status)
	}
	body, err := t.readBody(response)
	if err != nil {
		return err
	}
	b := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		t.serverError, t.keptBytes = b, b.size()
		return merry.Prependf(errServerError, "status %d", response.Status)
	}
	if response.Status/100 == 2 {
		t.admission.RecordCompletion(t.now())
	}
	return t.writeBuffered(b)
}

// size returns the memory that the body takes.
func (b *bufferedResponse) size() (n int64) {
	for _, part := range b.body {
		n += int64(cap(part))
	}
	return n
}

// readBody reads the body of a response completely. It is kept in parts, because a growing
// buffer takes up to three times as much memory.
func (t *transfer) readBody(response *exchange.Response) (parts [][]byte, err error) {
	part := make([]byte, 0, firstPartSize)
	for size := 0; ; {
		if len(part) == cap(part) {
			if !t.growMemory(int64(size + partSize)) {
				return nil, errNoMemory
			}
			parts = append(parts, part)
			part = make([]byte, 0, partSize)
		}
		n, err := response.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		size += n
		switch {
		case size > maxBodyBytes:
			return nil, errTooLarge
		case err == io.EOF:
			return append(parts, part), nil
		case err != nil:
			return nil, err
		}
	}
}

// writeBuffered writes a buffered response to the caller, and releases the memory of what was
// written. It fails with errCallerWrite if the caller has disconnected, did not read in time or was
// given up in favour of others.
func (t *transfer) writeBuffered(b *bufferedResponse) (err error) {
	t.serverError, t.keptBytes = nil, 0
	copyHeader(t.w.Header(), b.header)
	size, length := b.size(), 0
	for _, part := range b.body {
		length += len(part)
	}
	if t.r.Method != http.MethodHead && b.status != http.StatusNoContent && b.status != http.StatusNotModified {
		// Without a length, a caller with HTTP/1.0 takes a part of the body for all of it.
		t.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	t.w.WriteHeader(b.status)
	t.headerWritten = true
	t.memory.Shrink(size)
	if size > freeBufferedBytes {
		t.memory.Hold(t.now(), t.delivery)
	}
	for i, part := range b.body {
		if err = t.delivery.write(part); err != nil {
			err = merry.Prepend(errCallerWrite, err.Error())
			break
		}
		b.body[i] = nil
		size -= int64(cap(part))
		if size+int64(cap(part)) > freeBufferedBytes {
			t.memory.Shrink(size)
		}
	}
	t.memory.EndHold()
	if t.delivery.end() != endNone {
		return merry.Prepend(errCallerWrite, string(t.delivery.end()))
	}
	return err
}
