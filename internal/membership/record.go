package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/ident"
)

// KeyPrefix begins the keys of all records: KeyPrefix followed by the VM.
const KeyPrefix = "vm/"

// Record is what a router registers in the key-value service, bound to a
// lease.
type Record struct {
	VM            ident.VM            `json:"vm"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	Address       netip.AddrPort      `json:"address"` // of the endpoint for peers
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	Started       time.Time           `json:"started"`
	// Capacity tells how much the VM can do for others, as a multiple of what a
	// small VM can. Routers that say nothing of it have 0.
	Capacity int `json:"capacity,omitempty"`
}

// Key returns the key of the record of vm.
func Key(vm ident.VM) string {
	return KeyPrefix + string(vm)
}

// Encode returns the value of the record's key.
func (r Record) Encode() (value []byte, err error) {
	defer func() { err = merry.Prependf(err, "encoding the record of %s", r.VM) }()
	return json.Marshal(r)
}

// Decode returns the record that is the value of key.
func Decode(key string, value []byte) (r Record, err error) {
	defer func() { err = merry.Prependf(err, "decoding %s", key) }()
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, err
	}
	switch {
	case key != Key(r.VM) || !ident.Valid(string(r.VM)):
		return Record{}, fmt.Errorf("vm: %q does not fit the key", r.VM)
	case !ident.Valid(string(r.Incarnation)):
		return Record{}, fmt.Errorf("incarnation: %q is not an identifier", r.Incarnation)
	case !r.Address.IsValid():
		return Record{}, errors.New("address missing")
	}
	return r, nil
}

// VMOf returns the VM whose record has the given key.
func VMOf(key string) (vm ident.VM, ok bool) {
	id, ok := strings.CutPrefix(key, KeyPrefix)
	return ident.VM(id), ok && ident.Valid(id)
}
