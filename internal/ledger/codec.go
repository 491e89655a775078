package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// KeyPrefix is the prefix of the keys of all ledger pages and segments.
const KeyPrefix = "ledger/"

// errTrailingData reports data after the encoded JSON value.
var errTrailingData = errors.New("trailing data")

// PageIndex returns the number of the page that contains budget, given the number
// of pages.
func PageIndex(budget ident.Budget, pages int) int {
	return int(xxhash.Sum64String(string(budget)) % uint64(pages))
}

// PageKey returns the key of page n in the key-value service.
func PageKey(n int) string {
	return KeyPrefix + strconv.Itoa(n)
}

// Encode returns p as JSON. Equal pages have equal encodings. Only budgets that
// changed since the last call are encoded again, so a page must only be changed
// by its methods.
func Encode(p *Page) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encoding ledger page") }()
	budgets, err := p.encodeBudgets()
	if err != nil {
		return nil, err
	}
	return p.assemble(budgets)
}

// EncodeWrite returns p as JSON for the write id, which replaces revision base of
// the page. It appends id to p.Writes, where it replaces the identifier of an
// earlier call with the same base.
func EncodeWrite(p *Page, base int64, id WriteID) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encoding ledger page") }()
	budgets, err := p.encodeBudgets()
	if err != nil {
		return nil, err
	}
	if p.pendingBase == base+1 {
		p.Writes = p.Writes[:len(p.Writes)-1]
	}
	p.pendingBase = base + 1
	p.Writes = append(p.Writes, id)
	p.Writes = slices.Clone(p.Writes[max(0, len(p.Writes)-maxWriteIDs):])
	return p.assemble(budgets)
}

// maxWriteIDs is the number of write identifiers that a page keeps.
const maxWriteIDs = 32

// assemble returns the page as JSON, given its encoded budgets. It copies the
// budgets once instead of encoding them again.
func (p *Page) assemble(budgets []byte) ([]byte, error) {
	rest, err := json.Marshal(struct {
		Writes         []WriteID    `json:"writes,omitempty"`
		Sealed         []SegmentRef `json:"sealed,omitempty"`
		Written        time.Time    `json:"written,omitzero"`
		PruneNotBefore time.Time    `json:"hold,omitzero"`
	}{p.Writes, p.Segments, p.Written, p.PruneNotBefore})
	if err != nil {
		return nil, err
	}
	data := slices.Grow([]byte(`{"budgets":`), len(budgets)+len(rest)+1)
	data = append(data, budgets...)
	if len(rest) > len(`{}`) {
		data = append(data, ',')
	}
	return append(data, rest[1:]...), nil
}

// encodeBudgets returns the budgets as a JSON object, sorted by identifier.
func (p *Page) encodeBudgets() ([]byte, error) {
	ids := slices.Sorted(maps.Keys(p.Budgets))
	buffer := make([]byte, 1, 1+p.encodedSize())
	buffer[0] = '{'
	for i, id := range ids {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		key, err := json.Marshal(id)
		if err != nil {
			return nil, err
		}
		value, err := p.Budgets[id].encode()
		if err != nil {
			return nil, err
		}
		buffer = append(buffer, key...)
		buffer = append(buffer, ':')
		buffer = append(buffer, value...)
	}
	return append(buffer, '}'), nil
}

// encodedSize estimates the encoded size of the budgets.
func (p *Page) encodedSize() (n int) {
	for id, b := range p.Budgets {
		n += len(id) + len(b.encoded) + len(`"":,`)
	}
	return n
}

func (b *Budget) encode() (data []byte, err error) {
	if b.encoded != nil {
		return b.encoded, nil
	}
	b.encoded, err = json.Marshal(b)
	return b.encoded, err
}

// Decode returns the page that data encodes, compressed or not. It rejects
// unknown fields and pages that fail Check. Empty data is the empty page.
func Decode(data []byte) (p *Page, err error) {
	defer func() { err = merry.Prepend(err, "decoding ledger page") }()
	p = new(Page)
	if len(data) == 0 {
		return p, nil
	}
	if data, err = decompress(data); err != nil {
		return nil, err
	}
	if err := decodeStrictly(data, p); err != nil {
		return nil, err
	}
	if err := p.Check(); err != nil {
		return nil, err
	}
	if n := len(p.Writes); n > 0 {
		p.era, p.eraKnown = p.Writes[n-1].era()
	}
	return p, nil
}

// decodeStrictly decodes data into v. It rejects fields that v does not have and
// data after the JSON value.
func decodeStrictly(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}
