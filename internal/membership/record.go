package membership

import (
	"net/netip"
	"time"

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
}

// Key returns the key of the record of vm.
func Key(vm ident.VM) string {
	return KeyPrefix + string(vm)
}
