// Package gzipvalue compresses large values of a store.
//
// Ledger pages are large and repetitive, and links to the store have little bandwidth.
//
// # Usage
//
//	encoded, err := gzipvalue.Encode(value) // before a put
//	value := gzipvalue.Decode(entry.Value)  // after a read
package gzipvalue

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/store"
)

// compressionThreshold is the size in bytes from which values are compressed.
const compressionThreshold = 1 << 10

// gzipHeader is the prefix of each compressed value. A value that itself begins with
// it is always compressed, whatever its size, so that decoding is unambiguous.
var gzipHeader = []byte{0x1f, 0x8b}

// Encode returns the stored form of a value. A value whose compressed form is not below
// store.MaxValueSize is stored uncompressed unless it begins with gzipHeader.
func Encode(value []byte) (encoded []byte, err error) {
	if len(value) < compressionThreshold && !bytes.HasPrefix(value, gzipHeader) {
		return value, nil
	}
	defer func() { err = merry.Prepend(err, "compressing a value") }()
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if b.Len() >= store.MaxValueSize && !bytes.HasPrefix(value, gzipHeader) {
		return value, nil
	}
	return b.Bytes(), nil
}

// Decode is the inverse of Encode. A value that is not valid gzip data, as
// other writers may store, is returned unchanged.
func Decode(encoded []byte) []byte {
	if !bytes.HasPrefix(encoded, gzipHeader) {
		return encoded
	}
	r, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return encoded
	}
	value, err := io.ReadAll(io.LimitReader(r, store.MaxValueSize+1))
	if err != nil || r.Close() != nil {
		return encoded
	}
	return value
}
