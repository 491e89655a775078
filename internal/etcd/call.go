package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"example.org/lagoonfork/pkg/store"
)

// kind distinguishes reads from writes, which may have changed the store when a call
// fails.
type kind int

const (
	kindRead kind = iota
	kindWrite
)

// errTooLong reports a response larger than Settings.MaxResponse.
var errTooLong = errors.New("response too long")

// Error messages of the service after which a call certainly did not run.
const (
	messageNoLeader = "etcdserver: no leader"
	messageDialing  = "Error while dialing"
)

// gRPC status codes in the body of an error response.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeUnavailable       = 14
)

// call sends a request to the addresses in turn until one succeeds, and decodes the
// response. It stops at any error but store.ErrUnavailable.
func (c *Client) call(ctx context.Context, k kind, path string, request, response any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	start := c.firstIndex()
	for i := range c.addresses {
		n := (start + i) % len(c.addresses)
		err = c.callAddress(ctx, k, c.addresses[n]+path, body, response)
		if err == nil {
			c.preferred.Store(int64(n))
			return nil
		}
		if !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// callAddress sends a request to one address.
func (c *Client) callAddress(ctx context.Context, k kind, url string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.post(ctx, url, body)
	if err != nil {
		return callError(k, err)
	}
	// The error is ignored: the body has been read, or the call has failed.
	defer func() { _ = r.Body.Close() }()
	data, err := c.readBody(r.Body)
	if err != nil {
		return callError(k, err)
	}
	if r.StatusCode != http.StatusOK {
		return statusError(k, r.StatusCode, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return callError(k, err)
	}
	return nil
}

// post sends a POST request with a JSON body.
func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

// readBody reads the body of a response of at most maxResponse bytes.
func (c *Client) readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, c.maxResponse+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > c.maxResponse {
		return nil, errTooLong
	}
	return data, nil
}

// callError returns the error of a call that failed with err and got no usable
// response.
func callError(k kind, err error) error {
	if k == kindWrite && !unsent(err) {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// unsent reports whether a call failed because no connection could be opened.
func unsent(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// status is the wire format of an error response.
type status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// statusError returns the error for a response with an HTTP status other than 200.
// body is the body of the response.
func statusError(k kind, httpStatus int, body []byte) error {
	var s status
	// If the body is not a status, s stays empty.
	_ = json.Unmarshal(body, &s)
	err := fmt.Errorf("status %d: %s", httpStatus, s.Message)
	if sentinel := s.sentinel(httpStatus); sentinel != nil {
		return fmt.Errorf("%w: %w", sentinel, err)
	}
	if k == kindWrite {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// sentinel returns the error of package store that corresponds to a status, or nil
// if the status does not tell whether the call ran.
func (s status) sentinel(httpStatus int) error {
	switch {
	case s.Code == codeNotFound && strings.Contains(s.Message, "lease"):
		return store.ErrLeaseNotFound
	case s.Code == codeInvalidArgument && strings.Contains(s.Message, "too large"):
		return store.ErrTooLarge
	case s.Code == codeOutOfRange:
		return store.ErrCompacted
	case s.notRun(httpStatus):
		return store.ErrUnavailable
	}
	return nil
}

// notRun reports whether the service certainly did not run the call. For
// codeUnavailable it also considers the message, since a timeout within the service
// has the same code.
func (s status) notRun(httpStatus int) bool {
	switch s.Code {
	case codeUnavailable:
		return s.Message == messageNoLeader || strings.Contains(s.Message, messageDialing)
	case codeResourceExhausted:
		return true
	}
	switch httpStatus {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}
