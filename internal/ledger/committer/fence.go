package committer

import (
	"context"
	"errors"
	"strconv"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
)

// fencePrefix is the prefix of the keys of all fences. The number of the page and the era
// follow it.
const fencePrefix = "fence/" + ledger.KeyPrefix

func fencesOf(page int) string { return fencePrefix + strconv.Itoa(page) + "/" }

func fenceKey(page int, era store.Era) string {
	return fencesOf(page) + strconv.FormatInt(int64(era), 10)
}

// condition returns the condition of a write of the page: that its revision has not changed
// since it was read and, if the service has eras, that the fence of the era exists. After a
// restoration of the service, a write that was sent before may find the revision given out
// again, but not the fence.
func (p *page) condition() store.Condition {
	cond := store.If(p.revision)
	if p.fence != 0 {
		cond = cond.And(fenceKey(p.number, p.fence.Era()), p.fence)
	}
	return cond
}

// setFence finds or creates the fence of the page for an era. It removes those of earlier
// eras before it creates one. It reports whether it has created the fence, after which the
// page must be read again: until then, writes of earlier eras could take effect.
func (c *Committer) setFence(p *page, era store.Era) (created bool, err error) {
	defer func() { err = merry.Prependf(err, "setting the fence of ledger page %d", p.number) }()
	if era == 0 || p.fence.Era() == era {
		return false, nil
	}
	key := fenceKey(p.number, era)
	if found, err := c.findFence(p, key); found || err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(c.context(), c.settings.Timeout)
	defer cancel()
	earlier, _, err := c.settings.Store.List(ctx, fencesOf(p.number))
	if err != nil {
		return false, err
	}
	for _, e := range earlier {
		if err := c.settings.Store.Delete(ctx, e.Key, store.If(e.Revision)); err != nil && !errors.Is(err, store.ErrConflict) {
			return false, merry.Prepend(store.ErrUnavailable, err.Error())
		}
	}
	c.counters.Writes.Add(1)
	fence, err := c.settings.Store.Put(ctx, key, nil, store.If(0), store.NoLease)
	if errors.Is(err, store.ErrConflict) { // another router was first
		_, err = c.findFence(p, key)
		return false, err
	}
	if err != nil {
		return false, merry.Prepend(store.ErrUnavailable, err.Error())
	}
	p.fence = fence
	return true, nil
}

// findFence reads the fence of the page.
func (c *Committer) findFence(p *page, key string) (found bool, err error) {
	entry, err := c.get(c.context(), key)
	if err != nil || !entry.Exists() {
		return false, err
	}
	p.fence = entry.Revision
	return true, nil
}
