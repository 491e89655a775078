// Package operator implements the operators' commands: the questionnaire, the
// configuration in force, budgets, and the view of the fleet.
//
// Results go to Environment.Output, as tables or, with --json, as one JSON
// document. Questions and reports of progress go to Environment.Errors.
//
// # Usage
//
//	app := kingpin.New("lagoonfork", "...")
//	operator.Register(app, operator.Environment{
//		Context: ctx, Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr,
//		Open: open, Clock: time.Now,
//	})
//	_, err := app.Parse(os.Args[1:])
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err)
//	}
//	os.Exit(operator.ExitCode(err))
package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/internal/settings"
	"example.org/lagoonfork/pkg/store"
)

// Exit codes of the commands.
const (
	ExitDone          = 0
	ExitFailed        = 1
	ExitUsage         = 2 // wrong usage or bad input
	ExitConflict      = 3 // other answers were applied meanwhile
	ExitUnknown       = 4 // it is unknown whether a change took effect
	ExitNotEverywhere = 5 // some VMs did not do what was asked
)

// Errors of the commands besides those of other packages.
var (
	errUsage         = errors.New("wrong usage")
	errNotEverywhere = errors.New("not all VMs follow")
)

// Environment is what the commands reach the world through.
type Environment struct {
	Context context.Context
	Input   io.Reader
	Output  io.Writer
	Errors  io.Writer
	// Open returns the key-value service that the settings name. Commands
	// close it if it is an io.Closer.
	Open  func(settings.Operator) (store.Store, error)
	HTTP  *http.Client // nil stands for one that follows the timeout in the settings
	Clock func() time.Time
}

// command runs one of the operators' commands.
type command struct {
	Environment
	settingsFile string
	json         bool
}

// Register adds the commands to app. app.Parse runs the one that is called
// and returns its error; ExitCode tells what to exit with.
func Register(app *kingpin.Application, env Environment) {
	c := &command{Environment: env}
	c.registerAnswers(app.Command("answers", "The answers to the questionnaire and the configuration made from them."))
	c.registerBudgets(app.Command("budget", "Prepaid budgets."))
	c.registerFleet(app)
}

// add adds a subcommand. needsFleet makes it ask for the operator's settings.
func (c *command) add(parent interface {
	Command(name, help string) *kingpin.CmdClause
}, name, help string, needsFleet bool, run func() error) *kingpin.CmdClause {
	clause := parent.Command(name, help)
	clause.Flag("json", "Print JSON for scripts.").BoolVar(&c.json)
	flag := clause.Flag("settings", "File with the operator's settings.").PlaceHolder("FILE")
	if needsFleet {
		flag = flag.Required()
	}
	flag.StringVar(&c.settingsFile)
	clause.Action(func(*kingpin.ParseContext) error {
		if err := run(); err != nil {
			return &commandError{err: err}
		}
		return nil
	})
	return clause
}

// commandError is the error of a command that was called rightly.
type commandError struct{ err error }

// Error returns the command's error.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the command's error.
func (e *commandError) Unwrap() error { return e.err }

// ExitCode returns the code to exit with after an error of app.Parse, or nil.
func ExitCode(err error) int {
	var run *commandError
	var problems document.Problems
	var conflict *publication.ConflictError
	switch {
	case err == nil:
		return ExitDone
	case !errors.As(err, &run), errors.Is(err, errUsage), errors.As(err, &problems):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, publication.ErrUnknown), errors.Is(err, store.ErrUnknown):
		return ExitUnknown
	case errors.Is(err, errNotEverywhere):
		return ExitNotEverywhere
	}
	return ExitFailed
}

// fleet is the running fleet as the commands reach it.
type fleet struct {
	settings  settings.Operator
	store     store.Store
	publisher *publication.Publisher
	client    *http.Client
}

// withFleet runs f with the fleet that the settings name.
func (c *command) withFleet(f func(ctx context.Context, fleet *fleet) error) (err error) {
	data, err := readFile(c.settingsFile)
	if err != nil {
		return err
	}
	s, err := settings.DecodeOperator(data)
	if err != nil {
		return err
	}
	opened, err := c.Open(s)
	if err != nil {
		return err
	}
	if closer, ok := opened.(io.Closer); ok {
		defer func() { err = errors.Join(err, closer.Close()) }()
	}
	client := c.HTTP
	if client == nil {
		client = &http.Client{Timeout: s.PeerTimeout()}
		defer client.CloseIdleConnections()
	}
	return f(c.Context, &fleet{
		settings:  s,
		store:     opened,
		publisher: publication.New(opened, publication.Settings{}),
		client:    client,
	})
}

// report prints progress. Losing it does not fail a command.
func (c *command) report(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Errors, format, args...)
}

// readFile reads a file named on the command line.
func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, merry.Prepend(errUsage, err.Error())
	}
	return data, nil
}

// newID returns an identifier for a change.
func newID() string {
	return rand.Text()
}
