// Package vmboot identifies the boot of the VM that a process runs on.
//
// # Usage
//
//	boot := vmboot.Current(vm, log)
package vmboot

import (
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
)

// bootIDFile holds an identifier that Linux generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Current returns the current boot of the VM, or nil if its identifier cannot
// be read.
func Current(vm ident.VM, log hclog.Logger) *wallet.Boot {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		event.BootUnknown.Warn(log, "error", err)
		return nil
	}
	return &wallet.Boot{VM: vm, ID: strings.TrimSpace(string(id)), Elapsed: func() time.Duration {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			return 0 // dates a spend limit to the boot, so that a successor frees the fewest tokens
		}
		return time.Duration(t.Nano())
	}}
}
