// Package manifest splits configurations and answers into parts, which are
// stored under the digests of their contents, and assembles them.
//
// A value of the key-value service is limited to 1 MB, and the configuration of
// a large fleet is many times larger. One part, the base, holds the policy and
// the services; the others, the buckets, hold the customers with their budgets
// and applications, distributed by hash. A change rewrites only the parts that
// it affects, and a router reads only those that it lacks.
//
// A Manifest lists the parts of one revision. It is stored at HeadKey, which is
// replaced by compare-and-swap when a revision is put in force.
//
// # Usage
//
//	layout := manifest.LayoutFor(len(c.Budgets), 0)
//	parts, err := manifest.SplitConfiguration(c, layout)
//	...
//	c, err := manifest.AssembleConfiguration(head, parts)
package manifest

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/configuration"
)

// Keys of the key-value service.
const (
	// HeadKey holds the manifest in force.
	HeadKey = "config/head"
	// PartPrefix is the prefix of the keys of all parts. The digest follows.
	PartPrefix = "config/part/"
)

// DigestAlphabet is the alphabet of digests, that of base64url.
const DigestAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

// Digest identifies a part by its content: its SHA-256 in base64url.
type Digest string

// Manifest identifies the parts of a revision.
type Manifest struct {
	Revision configuration.Revision `json:"revision"`
	// ApplyID is the identifier that the writer chose for this change.
	ApplyID       string `json:"applyId"`
	AnswersDigest string `json:"answersDigest"`
	// Base is the part with the policy and the services.
	Base Digest `json:"base"`
	// Buckets are the parts with customers and budgets. Their number is a
	// power of two.
	Buckets []Digest `json:"buckets"`
	// Answers is the part that holds the PartList of the parts of the answers.
	Answers Digest `json:"answers"`
	// Previous is the part that holds the previous manifest, if any.
	Previous Digest `json:"previous,omitempty"`
	// Sweep counts the removals of old parts. A removal increments it without
	// a new revision, so that the compare-and-swap of a writer that read the
	// manifest before the removal fails.
	Sweep int `json:"sweep,omitempty"`
}

// PartList holds the digests of the parts of one document.
type PartList struct {
	Base    Digest   `json:"base"`
	Buckets []Digest `json:"buckets"`
}

// Parts holds the contents of parts by digest.
type Parts map[Digest][]byte

// Split is a document that has been split into parts.
type Split struct {
	List  PartList
	Parts Parts
}

// DigestOf returns the digest of a part's content.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// Key returns the key under which a part is stored.
func (d Digest) Key() string {
	return PartPrefix + string(d)
}

// List returns the digests of the parts of the configuration.
func (m Manifest) List() PartList {
	return PartList{Base: m.Base, Buckets: m.Buckets}
}

// Digests returns the digests of the document's parts.
func (l PartList) Digests() []Digest {
	digests := make([]Digest, 0, 1+len(l.Buckets))
	digests = append(digests, l.Base)
	return append(digests, l.Buckets...)
}

// Decode decodes and checks a manifest.
func Decode(data []byte) (m Manifest, err error) {
	defer func() { err = merry.Prepend(err, "reading a manifest") }()
	err = json.Unmarshal(data, &m)
	if err == nil {
		err = m.Check()
	}
	return m, err
}

// Check returns ErrMalformed unless m describes a complete configuration.
func (m Manifest) Check() error {
	if m.Revision < 1 || m.Base == "" || !isPowerOfTwo(len(m.Buckets)) || slices.Contains(m.Buckets, "") {
		return ErrMalformed
	}
	return nil
}

// Encode returns the stored form of the manifest.
func (m Manifest) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	return data, merry.Prepend(err, "writing a manifest")
}

// add stores the JSON encoding of a part in p and returns its digest.
func (p Parts) add(part any) (Digest, error) {
	data, err := json.Marshal(part)
	if err != nil {
		return "", err
	}
	digest := DigestOf(data)
	p[digest] = data
	return digest, nil
}

// Add stores the JSON encoding of a part in p and returns its digest.
func (p Parts) Add(part any) (Digest, error) {
	digest, err := p.add(part)
	return digest, merry.Prepend(err, "writing a part")
}

// read decodes the content with the given digest into part.
func (p Parts) read(digest Digest, part any) error {
	data, ok := p[digest]
	if !ok {
		return merry.Prependf(ErrMissing, "part %s", digest)
	}
	return json.Unmarshal(data, part)
}
