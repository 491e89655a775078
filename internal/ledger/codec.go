package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// Prefix begins the key of every ledger page.
const Prefix = "ledger/"

// errTrailing reports bytes after the page.
var errTrailing = errors.New("trailing data")

// Index returns the number of the page that holds budget, out of pages pages.
func Index(budget ident.Budget, pages int) int {
	return int(xxhash.Sum64String(string(budget)) % uint64(pages))
}

// Key returns the key of page n in the key-value service.
func Key(n int) string {
	return Prefix + strconv.Itoa(n)
}

// Encode returns p as JSON. Equal pages have equal encodings.
func Encode(p *Page) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encoding ledger page") }()
	return json.Marshal(p)
}

// Decode returns the page that data encodes. It refuses unknown fields and
// pages that fail Check. No data is the empty page.
func Decode(data []byte) (p *Page, err error) {
	defer func() { err = merry.Prepend(err, "decoding ledger page") }()
	p = new(Page)
	if len(data) == 0 {
		return p, nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailing
	}
	if err := p.Check(); err != nil {
		return nil, err
	}
	return p, nil
}
