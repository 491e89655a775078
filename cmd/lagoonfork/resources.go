package main

import (
	"io/fs"
	"os"
	"runtime/debug"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/controlgroup"
)

const (
	bytesPerMegabyte = 1_000_000
	// goMemoryFraction is the part of the memory from which on the garbage collector runs more often.
	// The rest is for the program's text and for what is allocated meanwhile.
	goMemoryFraction = 0.7
)

// resources returns the given resources, in place of which 0 stands for what the system reports, and
// has the garbage collector keep to the memory.
func resources(memory int64, descriptors int) (vm callerlimit.VM, err error) {
	defer func() { err = merry.Prepend(err, "reading the resources of the system") }()
	if memory == 0 {
		if memory, err = systemMemory(os.DirFS("/")); err != nil {
			return vm, err
		}
	}
	if descriptors == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return vm, err
		}
		const unlimited = 1 << 30
		descriptors = int(min(limit.Cur, unlimited))
	}
	debug.SetMemoryLimit(int64(goMemoryFraction * float64(memory)))
	return callerlimit.VM{Memory: memory, Descriptors: descriptors}, nil
}

// systemMemory returns the memory that the system reports, or what the control group of the process
// permits if that is less. root is the root of the file system.
func systemMemory(root fs.FS) (memory int64, err error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, err
	}
	memory = int64(info.Totalram) * int64(info.Unit)
	limit, ok, err := controlgroup.Of(root).Memory()
	if ok && limit > 0 && limit < memory {
		memory = limit
	}
	return memory, err
}
