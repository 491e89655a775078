package ledger

import (
	"bytes"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// packSize is the size in bytes from which an encoded page is compressed. The
	// names of holders repeat with each budget, so that a page of many routers
	// shrinks to about a twelfth. Smaller pages fit into a few packets anyway.
	packSize = 8 << 10
	// maxUnpacked bounds a page in bytes once it is no longer compressed.
	maxUnpacked = 64 << 20
	// packWindow is the window of the compression in bytes, which bounds its memory.
	packWindow = 512 << 10
)

// magic begins data that is compressed with Zstandard. JSON never begins so.
var magic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// packers and unpackers keep what is costly to make and not needed by most
// routers.
var (
	packers = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindow))
	})
	unpackers = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked))
	})
)

// Pack compresses the encoding of a large page. Equal encodings give equal results.
func Pack(data []byte) (packed []byte, err error) {
	if len(data) < packSize {
		return data, nil
	}
	e, err := packers()
	if err != nil {
		return nil, merry.Prepend(err, "compressing")
	}
	return e.EncodeAll(data, nil), nil
}

// unpack reverses Pack.
func unpack(data []byte) (unpacked []byte, err error) {
	if !bytes.HasPrefix(data, magic) {
		return data, nil
	}
	defer func() { err = merry.Prepend(err, "decompressing") }()
	d, err := unpackers()
	if err != nil {
		return nil, err
	}
	return d.DecodeAll(data, nil)
}
