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

// kind tells whether a call that failed may have changed something.
type kind int

const (
	kindRead kind = iota
	kindWrite
)

// errTooLong reports a response over the limit.
var errTooLong = errors.New("response too long")

// Messages of the service that tell that a call did not run.
const (
	messageNoLeader = "etcdserver: no leader"
	messageDialing  = "Error while dialing"
)

// Codes of errors in the body of a response.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeUnavailable       = 14
)

// call sends a request to the addresses in turn and decodes the response.
func (c *Client) call(ctx context.Context, k kind, path string, request, response any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	start := c.start()
	for i := range c.addresses {
		n := (start + i) % len(c.addresses)
		err = c.try(ctx, k, c.addresses[n]+path, body, response)
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

// try sends a request to one address.
func (c *Client) try(ctx context.Context, k kind, url string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.post(ctx, url, body)
	if err != nil {
		return failure(k, err)
	}
	// The body has been read by then, or the connection is given up.
	defer func() { _ = r.Body.Close() }()
	data, err := c.read(r.Body)
	if err != nil {
		return failure(k, err)
	}
	if r.StatusCode != http.StatusOK {
		return refusal(k, r.StatusCode, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return failure(k, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

func (c *Client) read(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, c.maxResponse+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > c.maxResponse {
		return nil, errTooLong
	}
	return data, nil
}

// failure classifies an error of a call without a usable response.
func failure(k kind, err error) error {
	if k == kindWrite && !unsent(err) {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// unsent reports whether no connection was made for a call.
func unsent(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// status is the body of a response that reports an error.
type status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// refusal classifies a response that reports an error.
func refusal(k kind, code int, body []byte) error {
	var s status
	// A body that is no status leaves s empty.
	_ = json.Unmarshal(body, &s)
	err := fmt.Errorf("status %d: %s", code, s.Message)
	if sentinel := s.sentinel(code); sentinel != nil {
		return fmt.Errorf("%w: %w", sentinel, err)
	}
	if k == kindWrite {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// sentinel returns the error of package store that a status stands for, and
// nil if it does not tell whether the call ran.
func (s status) sentinel(code int) error {
	switch {
	case s.Code == codeNotFound && strings.Contains(s.Message, "lease"):
		return store.ErrLeaseNotFound
	case s.Code == codeInvalidArgument && strings.Contains(s.Message, "too large"):
		return store.ErrTooLarge
	case s.Code == codeOutOfRange:
		return store.ErrCompacted
	case s.notRun(code):
		return store.ErrUnavailable
	}
	return nil
}

// notRun reports whether the service certainly did not run the call. Code
// codeUnavailable alone does not tell: a timeout within the service has it too.
func (s status) notRun(code int) bool {
	switch s.Code {
	case codeUnavailable:
		return s.Message == messageNoLeader || strings.Contains(s.Message, messageDialing)
	case codeResourceExhausted:
		return true
	}
	switch code {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}
