package committer

import (
	"context"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
)

// Page returns page n as read from the key-value service.
func (c *Committer) Page(ctx context.Context, n int) (p *ledger.Page, err error) {
	defer func() { err = merry.Prependf(err, "reading ledger page %d", n) }()
	entry, err := c.get(ctx, ledger.PageKey(n))
	if err != nil {
		return nil, err
	}
	return ledger.Decode(entry.Value)
}

// CachedPage returns page n as it was last read or written, and its revision,
// without calling the key-value service. ok is false if the page was never read
// or written.
func (c *Committer) CachedPage(n int) (p *ledger.Page, r store.Revision, ok bool) {
	data, r, ok := c.pages[n].lastEncoding()
	if !ok {
		return nil, 0, false
	}
	p, err := ledger.Decode(data)
	return p, r, err == nil
}

// Pages returns the number of pages.
func (c *Committer) Pages() int {
	return len(c.pages)
}

// Counters returns the counters of c, for publishing with expvar.
func (c *Committer) Counters() *Counters {
	return &c.counters
}

// context returns a context that is canceled when the committer stops.
func (c *Committer) context() context.Context {
	return c.tomb.Context(context.Background())
}

func (c *Committer) get(ctx context.Context, key string) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	c.counters.Reads.Add(1)
	return c.settings.Store.Get(ctx, key)
}

// lastEncoding returns the encoding stored by storeEncoding and its revision, if
// there is one.
func (p *page) lastEncoding() ([]byte, store.Revision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.encoded, p.encodedRevision, p.hasEncoded
}
