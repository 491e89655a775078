// Package delta encodes a version of an entry as its difference from an earlier version.
//
// # Usage
//
//	d, err := delta.New(before, after)
//	...
//	after, err := d.Apply(before)
package delta

import (
	"errors"
	"math/bits"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"example.org/lagoonfork/pkg/store"
)

const (
	// dictionaryID identifies the earlier value in a frame.
	dictionaryID = 1
	// minDictionarySize is the minimum size of a dictionary in bytes.
	minDictionarySize = 8
	// maxValueSize is the maximum size of a value in bytes. A larger value is an error.
	maxValueSize = 16 << 20
)

var errNoFrame = errors.New("frame is empty")

// Delta is the difference of one version of an entry from an earlier one.
type Delta struct {
	// From and To are the revisions of the two versions. From is zero if the earlier
	// version is empty.
	From store.Revision `json:"from"`
	To   store.Revision `json:"to"`
	// Frame is a Zstandard frame of the value. Its dictionary is the earlier value. Its
	// checksum detects that it is applied to another value.
	Frame []byte `json:"frame"`
}

// New returns the difference of the version after from the version before. If before is
// the zero Entry, the result holds the compressed value.
func New(before, after store.Entry) (d Delta, err error) {
	defer func() { err = merry.Prependf(err, "encoding a delta of %s", after.Key) }()
	frame, err := encode(before.Value, after.Value)
	return Delta{From: before.Revision, To: after.Revision, Frame: frame}, err
}

// Apply returns the version that d encodes, without a lease. The version before must be
// the one that d was made from.
func (d Delta) Apply(before store.Entry) (after store.Entry, err error) {
	defer func() { err = merry.Prependf(err, "applying a delta of %s", before.Key) }()
	if before.Revision != d.From {
		return after, merry.Errorf("from: revision %d, but revision %d is held", d.From, before.Revision)
	}
	value, err := decode(before.Value, d.Frame)
	return store.Entry{Key: before.Key, Value: value, Revision: d.To}, err
}

func encode(before, after []byte) (frame []byte, err error) {
	if len(after) > maxValueSize {
		return nil, merry.Errorf("the value has %d bytes, more than %d", len(after), maxValueSize)
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithZeroFrames(true),
		zstd.WithWindowSize(windowSize(len(before) + len(after))),
	}
	if len(before) >= minDictionarySize {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, before))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	return e.EncodeAll(after, nil), e.Close()
}

func decode(before, frame []byte) (after []byte, err error) {
	if len(frame) == 0 {
		return nil, errNoFrame
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxValueSize)}
	if len(before) >= minDictionarySize {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, before))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(frame, nil)
}

// windowSize returns the window in bytes with which a match may lie n bytes back.
func windowSize(n int) int {
	return min(max(1<<bits.Len(uint(n)), zstd.MinWindowSize), zstd.MaxWindowSize)
}
