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

// maxBody is the greatest size in bytes of the response to a call other than a
// run.
const maxBody = 16 << 20

// errBodyTooLarge reports a response over maxBody.
var errBodyTooLarge = errors.New("response too large")

// call is one call other than a run.
type call struct {
	method string
	path   string
	header http.Header
	body   any // nil for none
	mode   transport.Mode
	decode func(io.Reader) error // nil to skip the response's body
}

// do sends a call and checks its response.
func (c *Client) do(ctx context.Context, up configuration.Upstream, k call) error {
	p, err := c.peer(up)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	request, err := k.request(ctx, p)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	response, sent, err := p.transport.Do(request, k.mode)
	if err != nil {
		p.transport.DropIdle()
		return outcome(sent, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := check(response); err != nil {
		return err
	}
	if k.decode == nil {
		return nil
	}
	if err := k.decode(&limitedReader{r: response.Body, left: maxBody}); err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

func (k call) request(ctx context.Context, p *peer) (*http.Request, error) {
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

// outcome returns what is known of a call that got no response.
func outcome(sent bool, cause error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrLost, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotRun, cause)
}

// check returns what is known of a call from the status of its response.
func check(response *http.Response) error {
	status := response.StatusCode
	switch {
	case status >= 200 && status < 300:
		return nil
	case notRun(response):
		return fmt.Errorf("%w: engine answered with status %d", ErrNotRun, status)
	case ownFault(status):
		return refusal(status, message(response))
	}
	return fmt.Errorf("%w: engine answered with status %d: %s", ErrLost, status, message(response))
}

// limitedReader fails, rather than ends, past its limit.
type limitedReader struct {
	r    io.Reader
	left int
}

// Read reads up to the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errBodyTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
