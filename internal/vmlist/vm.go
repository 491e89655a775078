package vmlist

import (
	"fmt"
	"net/netip"

	"example.org/lagoonfork/pkg/ident"
)

// State is the state of a VM in the platform's list.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is an entry of the platform's list.
type VM struct {
	ID            ident.VM            `json:"id"`
	Address       netip.AddrPort      `json:"address"` // address of the peer endpoint
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	State         State               `json:"state"`
}

// validate checks that the identifier, address and state are valid.
func (vm VM) validate() error {
	switch {
	case !ident.Valid(string(vm.ID)):
		return fmt.Errorf("id: %q is not an identifier", vm.ID)
	case !vm.Address.IsValid():
		return fmt.Errorf("address of %s missing", vm.ID)
	case vm.State != StateLive && vm.State != StateLeaving:
		return fmt.Errorf("state of %s: %q is unknown", vm.ID, vm.State)
	}
	return nil
}
