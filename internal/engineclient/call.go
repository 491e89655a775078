package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
)

// maxBody is the maximum size in bytes of the response body of a call other
// than a run.
const maxBody = 16 << 20

// errBodyTooLarge is returned when a response body exceeds maxBody.
var errBodyTooLarge = errors.New("response too large")

// call describes an HTTP call other than a run.
type call struct {
	method string
	path   string
	header http.Header
	body   any // encoded as JSON; nil for no body
	mode   transport.Mode
	decode func(io.Reader) error // nil to ignore the response body
}

// do sends a call, checks the status of the response and decodes its body.
func (c *Client) do(ctx context.Context, up configuration.Upstream, k call) error {
	p, err := c.peer(up)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	request, err := k.newRequest(ctx, p)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	response, sent, err := p.transport.Do(request, k.mode)
	if err != nil {
		p.transport.DropIdle()
		return noResponseError(sent, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkStatus(response); err != nil {
		return err
	}
	if k.decode == nil {
		return nil
	}
	if err := k.decode(&limitedReader{r: response.Body, left: maxBody}); err != nil {
		return fmt.Errorf("%w: %w", ErrResponseLost, err)
	}
	return nil
}

func (k call) newRequest(ctx context.Context, p *peer) (*http.Request, error) {
	var body io.Reader
	if k.body != nil {
		data, err := json.Marshal(k.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, p.url(k.path), body)
	if err != nil {
		return nil, err
	}
	for name, values := range k.header {
		request.Header[name] = values
	}
	if k.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// noResponseError returns the error for a call that received no response:
// ErrNotRun if nothing was sent, ErrResponseLost otherwise.
func noResponseError(sent bool, cause error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrResponseLost, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotRun, cause)
}

// checkStatus maps the status of a response to an error that tells whether the
// engine may have executed the call.
func checkStatus(response *http.Response) error {
	status := response.StatusCode
	switch {
	case status >= 200 && status < 300:
		return nil
	case reportsNotRun(response):
		return fmt.Errorf("%w: engine answered with status %d", ErrNotRun, status)
	case isRequestError(status):
		return newRefusalError(status, errorMessage(response))
	}
	return fmt.Errorf("%w: engine answered with status %d: %s", ErrResponseLost, status, errorMessage(response))
}

// limitedReader returns errBodyTooLarge instead of io.EOF when its limit is
// reached.
type limitedReader struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errBodyTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
