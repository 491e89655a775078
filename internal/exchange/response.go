package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Response is the response to a call. Its headers have been read; its body has not.
// It must not be used by more than one goroutine at a time.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes, or -1 if unknown
	// EndsWithConnection reports that the body has neither a length nor chunks. It ends
	// where the upstream closes the connection, so that its end does not show whether it
	// is complete.
	EndsWithConnection bool
	// Reused reports that the connection had already carried an exchange, so that the
	// response may be a late one to an earlier request.
	Reused bool

	body       io.ReadCloser
	closeAfter bool
	bodyRead   bool
	sent       bool // awaitSend has returned sendErr
	sendErr    error
	pool       *Pool
	conn       *conn
	address    netip.AddrPort
	sendDone   chan error  // receives the result of sending the request
	stopCancel func() bool // reports false if ctx has already closed the connection
	ctx        context.Context
}

// Read reads the body. It returns io.EOF only if the body is complete or, if
// EndsWithConnection is set, where it ends. In that case it waits until the request was sent,
// because a write that fails consumes the error of a connection that was reset, and the end of
// the body then looks like that of a complete one.
func (r *Response) Read(b []byte) (n int, err error) {
	n, err = r.body.Read(b)
	if err == io.EOF && r.EndsWithConnection {
		if sendErr := r.awaitSend(); sendErr != nil {
			err = fmt.Errorf("%w: %w", errUploadFailed, sendErr)
		}
	}
	if err == io.EOF {
		r.bodyRead = true
	} else if err != nil && r.ctx.Err() != nil {
		err = r.ctx.Err()
	}
	return n, err
}

// awaitSend waits until the request was sent or sending it failed, and returns the error. It fails
// with errUploadBlocked after uploadEndTimeout: an upstream that does not read the rest may reset
// the connection at any later time.
func (r *Response) awaitSend() error {
	if r.sent {
		return r.sendErr
	}
	timer := time.NewTimer(uploadEndTimeout)
	defer timer.Stop()
	select {
	case r.sendErr = <-r.sendDone:
	case <-timer.C:
		r.sendErr = errUploadBlocked
	}
	r.sent = true
	return r.sendErr
}

// Drain reads the rest of the body, so that the connection can be reused. It closes the
// connection if that takes more than limit bytes or longer than the given time.
func (r *Response) Drain(limit int64, timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() { _ = r.conn.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(r, limit)) // Close does not reuse the connection after an error
}

// Abort closes the connection, so that a Read of another goroutine fails. Close must still be
// called after that Read.
func (r *Response) Abort() {
	r.closeAfter = true // not reusable even if the Read has met the end of the body
	_ = r.conn.Close()
}

// Close ends the exchange. The connection is reused if the request was sent
// completely, the response was read to its end and no bytes followed it. Otherwise it
// is closed.
func (r *Response) Close() {
	if r.stopCancel() && r.reusable() {
		r.pool.putIdle(r.conn, r.address, r.pool.idleLimit(r.Header))
		return
	}
	_ = r.conn.Close()
}

// reusable reports whether the connection may carry another exchange. It waits up to
// sendTimeout for the request to be sent.
func (r *Response) reusable() bool {
	if !r.bodyRead || r.closeAfter || r.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.sendDone:
		return err == nil
	case <-time.After(sendTimeout):
		return false
	}
}
