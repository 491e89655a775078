package committer

import (
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
)

// encode returns the compressed encoding of the page for the write id. Before
// that, it prunes the page if its last pruning is long enough ago, and seals ended
// claims if the page exceeds SealSize. If the compressed encoding exceeds
// store.MaxValueSize, it prunes the page again, and returns ledger.ErrPageFull if
// that is not enough.
func (c *Committer) encode(p *page, now time.Time, id ledger.WriteID) (data []byte, err error) {
	p.current.RecordWrite(now)
	if now.Sub(p.lastPrune) >= min(c.settings.Retention/pruneIntervalDivisor, maxPruneInterval) {
		p.current.Prune(now, c.settings.Retention)
		p.lastPrune = now
	}
	data, err = c.encodeCompressed(p, id)
	if err != nil || len(data) <= store.MaxValueSize {
		return data, err
	}
	if p.current.Prune(now, c.settings.Retention) > 0 {
		data, err = c.encodeCompressed(p, id)
	}
	if err == nil && len(data) > store.MaxValueSize {
		return nil, merry.Prependf(ledger.ErrPageFull, "%d bytes", len(data))
	}
	return data, err
}

// encodeCompressed returns the compressed encoding of the page for the write id.
// It seals ended claims if the uncompressed encoding exceeds SealSize.
func (c *Committer) encodeCompressed(p *page, id ledger.WriteID) (data []byte, err error) {
	data, err = ledger.EncodeWrite(p.current, int64(p.revision), id)
	if err == nil && len(data) > c.settings.SealSize {
		data, err = c.encodeSealed(p, data, id)
	}
	if err != nil {
		return nil, err
	}
	return ledger.Compress(data)
}

// encodeSealed seals ended claims until the uncompressed encoding of the page,
// initially data, is at most SealSize or too few claims are left for a segment. It
// returns the encoding.
func (c *Committer) encodeSealed(p *page, data []byte, id ledger.WriteID) ([]byte, error) {
	for len(data) > c.settings.SealSize {
		sealed, err := c.seal(p)
		if err != nil || !sealed {
			return data, err
		}
		data, err = ledger.EncodeWrite(p.current, int64(p.revision), id)
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}

// pruneIntervalDivisor is the ratio of the retention to the minimum time between
// two prunings of a page, which is at most maxPruneInterval.
const pruneIntervalDivisor = 32

// maxPruneInterval is an upper bound of the minimum time between prunings.
const maxPruneInterval = 10 * time.Second
