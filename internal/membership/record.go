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

// KeyPrefix is the prefix of the keys of all records. The VM follows it.
const KeyPrefix = "vm/"

// Record describes a router. A router registers its record in the key-value
// service, bound to a lease.
type Record struct {
	VM            ident.VM            `json:"vm"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	Address       netip.AddrPort      `json:"address"` // of the peer endpoint
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	Started       time.Time           `json:"started"`
	// Capacity is how much work the VM can do for other routers, as a multiple of
	// what a small VM can do. It is 0 for routers that do not report it.
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

// Decode parses the record stored under key. It returns an error if the value is
// not JSON, its VM does not match key, or its incarnation or address is invalid.
func Decode(key string, value []byte) (r Record, err error) {
	defer func() { err = merry.Prependf(err, "decoding %s", key) }()
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, err
	}
	switch {
	case key != Key(r.VM) || !ident.Valid(string(r.VM)):
		return Record{}, fmt.Errorf("vm: %q does not match the key or is not an identifier", r.VM)
	case !ident.Valid(string(r.Incarnation)):
		return Record{}, fmt.Errorf("incarnation: %q is not an identifier", r.Incarnation)
	case !r.Address.IsValid():
		return Record{}, errors.New("address: missing")
	}
	return r, nil
}

// VMFromKey returns the VM whose record has the given key. It returns false if key
// is not the key of a record.
func VMFromKey(key string) (vm ident.VM, ok bool) {
	id, ok := strings.CutPrefix(key, KeyPrefix)
	return ident.VM(id), ok && ident.Valid(id)
}
