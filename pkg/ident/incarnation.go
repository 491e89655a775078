package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// incarnationBytes is the number of random bytes in the identifier of an incarnation. It has to be
// unique among the few processes of one VM only.
const incarnationBytes = 6

// NewIncarnation returns a random identifier, unique among the processes of the VM.
func NewIncarnation(vm VM) Incarnation {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return Incarnation(string(vm) + "-" + hex.EncodeToString(b[:]))
}

// VM returns the VM of an identifier that NewIncarnation returned, or "" for another one.
func (i Incarnation) VM() VM {
	n := strings.LastIndexByte(string(i), '-')
	if n < 0 || len(i)-n-1 != hex.EncodedLen(incarnationBytes) {
		return ""
	}
	return VM(i[:n])
}
