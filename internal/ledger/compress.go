package ledger

import (
	"bytes"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// compressThreshold is the size in bytes from which an encoded page is
	// compressed. The names of holders are repeated in each budget, so that a
	// page with many routers is compressed to about a twelfth of its size.
	// Smaller pages fit into a few packets anyway.
	compressThreshold = 8 << 10
	// maxDecompressedSize is the maximum size of a decompressed page in bytes.
	maxDecompressedSize = 64 << 20
	// compressWindow is the compression window in bytes, which limits the memory
	// used by the encoder.
	compressWindow = 512 << 10
)

// zstdMagic is the magic number at the start of Zstandard frames. JSON never
// starts with it.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// sharedEncoder and sharedDecoder create the shared encoder and decoder on first use.
// Both are expensive to create, and most routers do not need them.
var (
	sharedEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressWindow))
	})
	sharedDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedSize))
	})
)

// Compress compresses an encoded page if it has at least compressThreshold bytes.
// Equal encodings give equal results.
func Compress(data []byte) (compressed []byte, err error) {
	if len(data) < compressThreshold {
		return data, nil
	}
	e, err := sharedEncoder()
	if err != nil {
		return nil, merry.Prepend(err, "compressing")
	}
	return e.EncodeAll(data, nil), nil
}

// decompress is the inverse of Compress.
func decompress(data []byte) (decompressed []byte, err error) {
	if !bytes.HasPrefix(data, zstdMagic) {
		return data, nil
	}
	defer func() { err = merry.Prepend(err, "decompressing") }()
	d, err := sharedDecoder()
	if err != nil {
		return nil, err
	}
	return d.DecodeAll(data, nil)
}
