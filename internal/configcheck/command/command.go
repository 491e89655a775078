// Package command runs the check of a configuration as a command of a program.
//
// # Usage
//
//	check := command.New(app, command.Platform{Decode: decode, Names: names, ReadStore: read})
//	selected, err := app.Parse(os.Args[1:])
//	if selected == check.Name() {
//		status, err = check.Run(os.Stdout)
//	}
package command

import (
	"errors"
	"io"
	"net/netip"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/configcheck"
	"example.org/lagoonfork/internal/settings"
)

// Platform gives access to the configurations of a platform.
type Platform struct {
	// Decode decodes a configuration.
	Decode func(data []byte) configcheck.Configuration
	Names  configcheck.Names
	// ReadStore reads the configuration in force from the store at an address. It returns nothing
	// if there is none.
	ReadStore func(address netip.AddrPort) ([]byte, error)
}

// Command is the command "check" of a program.
type Command struct {
	platform Platform
	name     string

	file, inForce, store, settings, format string
}

// New adds the command to app.
func New(app *kingpin.Application, p Platform) *Command {
	clause := app.Command("check", "Check a configuration before it is written to the store. The exit status is 0 if there is "+
		"nothing to report or only differences, 1 with warnings, and 2 with errors or if the check is not possible.")
	c := &Command{platform: p, name: clause.FullCommand()}
	clause.Flag("in-force", "File with the configuration in force, to report the differences from it.").StringVar(&c.inForce)
	clause.Flag("store", "Address of the store that has the configuration in force.").StringVar(&c.store)
	clause.Flag("settings", "File with the settings of a router, for its drain timeout and memory. The defaults apply without it.").
		Envar("LAGOONFORK_SETTINGS").StringVar(&c.settings)
	clause.Flag("format", "Format of the report.").Default(configcheck.FormatText).EnumVar(&c.format, configcheck.FormatText, configcheck.FormatJSON)
	clause.Arg("file", "File with the configuration to check.").Required().StringVar(&c.file)
	return c
}

// Name returns the name under which the application selects the command.
func (c *Command) Name() string { return c.name }

var errTwoSources = errors.New("it is given by both a file and a store")

// Run writes the report to w and returns the exit status.
func (c *Command) Run(w io.Writer) (status int, err error) {
	defer func() {
		if err != nil {
			status, err = configcheck.StatusErrors, merry.Prependf(err, "checking %s", c.file)
		}
	}()
	data, err := os.ReadFile(c.file)
	if err != nil {
		return 0, err
	}
	vm, err := readVM(c.settings)
	if err != nil {
		return 0, err
	}
	inForce, err := c.readInForce()
	if err != nil {
		return 0, err
	}
	report, err := configcheck.Check(c.platform.Decode(data), inForce, c.platform.Names, vm)
	if err != nil {
		return 0, err
	}
	return report.ExitStatus(), report.Write(w, c.format)
}

// readInForce returns the configuration in force, or nil if the flags name none. If the store has
// none, it is an empty one.
func (c *Command) readInForce() (inForce *configcheck.Configuration, err error) {
	defer func() { err = merry.Prepend(err, "reading the configuration in force") }()
	var data []byte
	switch {
	case c.inForce != "" && c.store != "":
		return nil, errTwoSources
	case c.inForce != "":
		data, err = os.ReadFile(c.inForce)
	case c.store != "":
		data, err = c.readStore()
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	decoded := c.platform.Decode(data)
	return &decoded, decoded.Errors.Err()
}

// readStore returns the configuration that the store has, or an empty one if it has none.
func (c *Command) readStore() ([]byte, error) {
	address, err := netip.ParseAddrPort(c.store)
	if err != nil {
		return nil, err
	}
	data, err := c.platform.ReadStore(address)
	if len(data) == 0 {
		data = []byte("{}")
	}
	return data, err
}

// readVM returns the limits that the settings in a file, or the defaults, give to routers.
func readVM(file string) (vm configcheck.VM, err error) {
	s := settings.DefaultEdge()
	if file != "" {
		if s, err = settings.ReadEdge(file); err != nil {
			return vm, err
		}
	}
	return configcheck.VM{
		DrainTimeout:  s.DrainTimeout(),
		RequestMemory: callerlimit.VM{Memory: s.MemoryBytes()}.Callers().LargestRequest(),
	}, nil
}
