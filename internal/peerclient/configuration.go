package peerclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// ConfigurationHead waits up to ConfigurationHeadWait for the peer to hold a revision
// above the given one, and returns its manifest. If the peer holds no such revision by
// then, the manifest has only its revision set.
func (c *Client) ConfigurationHead(ctx context.Context, peer ident.VM, above configuration.Revision) (m manifest.Manifest, err error) {
	defer func() { err = merry.Prependf(err, "reading the head of the configuration from %s", peer) }()
	address, ok := c.addressOfVM(peer)
	if !ok {
		return m, dispatch.ErrUnreachable
	}
	path := fmt.Sprintf("%s?above=%d", PathConfigurationHead, above)
	return call[manifest.Manifest](ctx, c, ConfigurationHeadWait+c.settings.Timeout, http.MethodGet, address, path, nil)
}

// ConfigurationPart returns the content of a part of the configuration from the peer.
func (c *Client) ConfigurationPart(ctx context.Context, peer ident.VM, digest manifest.Digest) (data []byte, err error) {
	defer func() { err = merry.Prependf(err, "reading part %s from %s", digest, peer) }()
	address, ok := c.addressOfVM(peer)
	if !ok {
		return nil, dispatch.ErrUnreachable
	}
	part, err := call[json.RawMessage](ctx, c, c.settings.Timeout, http.MethodGet, address, PathConfigurationParts+string(digest), nil)
	return part, err
}

// addressOfVM returns the address of the peer on a VM, and false if there is none.
func (c *Client) addressOfVM(vm ident.VM) (netip.AddrPort, bool) {
	for _, m := range c.settings.Members.Peers(c.settings.Clock()) {
		if m.VM == vm {
			return m.Address, true
		}
	}
	return netip.AddrPort{}, false
}
