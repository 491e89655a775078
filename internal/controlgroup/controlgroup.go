// Package controlgroup reads the limits that the control groups of Linux set for the process, for
// example those of its container. It reads both versions of control groups.
//
// # Usage
//
//	memory, ok, err := controlgroup.Of(os.DirFS("/")).Memory()
//	if ok {
//		// the process may have up to memory bytes
//	}
package controlgroup

import (
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

const (
	membershipFile = "proc/self/cgroup"
	mountPoint     = "sys/fs/cgroup"
	memoryFile     = "memory.max"            // of version 2
	memoryFileV1   = "memory.limit_in_bytes" // of version 1, below the directory memory
	unlimited      = "max"
)

// Group is the control group of the process.
type Group struct{ root fs.FS }

// Of returns the control group of the process in the file system with the given root directory.
func Of(root fs.FS) Group { return Group{root} }

// Memory returns the smallest limit of the memory of the group and those above it, in bytes. It reports
// false if there is none.
func (g Group) Memory() (limit int64, ok bool, err error) {
	defer func() { err = merry.Prepend(err, "reading the memory limit of the control group") }()
	memberships, err := g.read(membershipFile)
	if err != nil {
		return 0, false, err
	}
	for line := range strings.Lines(memberships) {
		directory, file, group, known := memoryOf(strings.TrimSpace(line))
		if !known {
			continue
		}
		for {
			value, found, err := g.limit(path.Join(directory, group, file))
			if err != nil {
				return 0, false, err
			}
			if found && (!ok || value < limit) {
				limit, ok = value, true
			}
			if group == "/" {
				break
			}
			group = path.Dir(group)
		}
	}
	return limit, ok, nil
}

// memoryOf returns where the memory limits are that a line of membershipFile refers to, which has the
// form ID:CONTROLLERS:GROUP. The directory may be mounted for a part of the groups, so that the group is
// not found in it but its root is that of the container.
func memoryOf(line string) (directory, file, group string, ok bool) {
	fields := strings.SplitN(line, ":", 3)
	if len(fields) != 3 {
		return "", "", "", false
	}
	group = path.Clean("/" + fields[2])
	switch {
	case fields[0] == "0" && fields[1] == "":
		return mountPoint, memoryFile, group, true
	case slices.Contains(strings.Split(fields[1], ","), "memory"):
		return path.Join(mountPoint, "memory"), memoryFileV1, group, true
	}
	return "", "", "", false
}

// limit returns the limit in a file. It reports false if there is no such file or no limit.
func (g Group) limit(name string) (value int64, ok bool, err error) {
	text, err := g.read(name)
	if text = strings.TrimSpace(text); err != nil || text == "" || text == unlimited {
		return 0, false, err
	}
	value, err = strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, false, fmt.Errorf("%s: %w", name, err)
	}
	return value, true, nil
}

// read returns the content of a file, or nothing if there is none.
func (g Group) read(name string) (string, error) {
	data, err := fs.ReadFile(g.root, name)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	return string(data), err
}
