package quarantine

import (
	"crypto/sha256"
	"encoding/hex"

	"example.org/lagoonfork/pkg/ident"
)

// maxParts limits the parts of a prompt that are examined, and so the records that one
// request can add to the list.
const maxParts = 64

// Digest identifies what a request has in common with others: its whole content, or a
// part of its prompt.
type Digest string

// Subject describes a request to the quarantine.
type Subject struct {
	Customer ident.Customer
	// Content is the digest of the whole request.
	Content Digest
	// Parts are the digests of the parts of its prompt that other requests may have.
	Parts []Digest
}

// NewSubject returns the subject of a customer's request to a service, with the given body, in
// pieces of any size, and the identifiers or texts of the parts of its prompt. Of the parts, the last one is
// the request's own and ignored, and so are those beyond the first maxParts.
func NewSubject(customer ident.Customer, service ident.Service, body [][]byte, parts []string) Subject {
	s := Subject{Customer: customer, Content: DigestOf(customer, service, body...)}
	for i := range min(len(parts)-1, maxParts) {
		s.Parts = append(s.Parts, PartDigestOf(service, parts[i]))
	}
	return s
}

// DigestOf returns the digest of a customer's request to a service with the given
// body, in pieces of any size: the first 16 bytes of a SHA-256 hash, in hexadecimal.
func DigestOf(customer ident.Customer, service ident.Service, body ...[]byte) Digest {
	return hash(body, []byte(customer), []byte(service))
}

// PartDigestOf returns the digest of a part of the prompts that a service receives,
// whoever sends them. It has the form of DigestOf.
func PartDigestOf(service ident.Service, part string) Digest {
	return hash([][]byte{[]byte(part)}, []byte("part"), []byte(service))
}

// hash returns the digest of fields, each followed by a null byte, and of the pieces of a last
// one.
func hash(last [][]byte, fields ...[]byte) Digest {
	h := sha256.New()
	for _, f := range fields {
		h.Write(f)
		h.Write([]byte{0})
	}
	for _, piece := range last {
		h.Write(piece)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:16]))
}

// Digests returns the digests of the request, that of its content first.
func (s Subject) Digests() []Digest {
	return append([]Digest{s.Content}, s.Parts...)
}
