// Package vmlist reads the platform's list of live and leaving VMs.
//
// # Usage
//
//	c := vmlist.NewClient(vmlist.Settings{URL: "http://10.0.0.5:8500"})
//	defer c.Close()
//	vms, err := c.List(ctx)
package vmlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	defaultTimeout  = 2 * time.Second
	maxResponseSize = 8 << 20 // bytes
)

// Settings configures a Client.
type Settings struct {
	// URL is the base URL of the platform's service, without /vms.
	URL string
	// Timeout is the timeout of each call. The default is 2 s.
	Timeout time.Duration
}

// Client reads the list over HTTP. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client. It makes no call.
func NewClient(settings Settings) *Client {
	timeout := settings.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{
		url:  settings.URL + "/vms",
		http: &http.Client{Transport: new(http.Transport), Timeout: timeout},
	}
}

// List returns the platform's list, which may lag behind the actual state of the VMs.
func (c *Client) List(ctx context.Context) (vms []VM, err error) {
	defer func() { err = merry.Prepend(err, "reading the list of VMs") }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	// The error is ignored: the body has been read, or the call has failed.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return decode(response.Body)
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// decode reads and validates a list.
func decode(r io.Reader) (vms []VM, err error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseSize+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxResponseSize {
		return nil, errors.New("list too long")
	}
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, err
	}
	for _, vm := range vms {
		if err := vm.validate(); err != nil {
			return nil, err
		}
	}
	return vms, nil
}
