// Package operator implements the operators' commands. They prompt for answers,
// put configurations in force, top up budgets, and show the state of the fleet.
//
// Results go to Environment.Output, as tables or, with --json, as one JSON
// document. Prompts and progress messages go to Environment.Errors.
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
	ExitSuccess  = 0
	ExitFailed   = 1
	ExitUsage    = 2 // wrong usage or invalid input
	ExitConflict = 3 // other answers were applied in the meantime
	ExitUnknown  = 4 // it is unknown whether a change took effect
	ExitPartial  = 5 // some VMs failed or lag
)

// Errors that determine the exit code.
var (
	errUsage   = errors.New("wrong usage")
	errPartial = errors.New("the change is not applied on all VMs")
)

// Environment holds the streams, clients and clock that the commands use.
type Environment struct {
	Context context.Context
	Input   io.Reader
	Output  io.Writer
	Errors  io.Writer
	// Open connects to the key-value service in the settings. Commands close
	// the result if it is an io.Closer.
	Open  func(settings.Operator) (store.Store, error)
	HTTP  *http.Client // nil selects a client with the peer timeout of the settings
	Clock func() time.Time
}

// command holds the environment and the flags shared by all commands.
type command struct {
	Environment
	settingsFile string
	json         bool
}

// Register adds the commands to app. app.Parse runs the command given and
// returns its error, which ExitCode maps to an exit code.
func Register(app *kingpin.Application, env Environment) {
	c := &command{Environment: env}
	c.registerAnswers(app.Command("answers", "The answers to the questionnaire and the configuration made from them."))
	c.registerBudgets(app.Command("budget", "Prepaid budgets."))
	c.registerFleet(app)
}

// addCommand adds a subcommand. If needsFleet is set, the flag --settings is
// required.
func (c *command) addCommand(parent interface {
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

// commandError is the error of a command that ran, as opposed to an error in
// the command line.
type commandError struct{ err error }

// Error returns the command's error.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the command's error.
func (e *commandError) Unwrap() error { return e.err }

// ExitCode returns the exit code for an error of app.Parse, which may be nil.
func ExitCode(err error) int {
	var commandErr *commandError
	var problems document.Problems
	var conflict *publication.ConflictError
	switch {
	case err == nil:
		return ExitSuccess
	case !errors.As(err, &commandErr), errors.Is(err, errUsage), errors.As(err, &problems):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, publication.ErrUnknown), errors.Is(err, store.ErrUnknown):
		return ExitUnknown
	case errors.Is(err, errPartial):
		return ExitPartial
	}
	return ExitFailed
}

// fleet holds the clients with which the commands access the running fleet.
type fleet struct {
	settings  settings.Operator
	store     store.Store
	publisher *publication.Publisher
	client    *http.Client
}

// withFleet runs f with clients for the fleet in the settings file, and closes
// them.
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

// report prints a progress message. A failed write does not fail the command.
func (c *command) report(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Errors, format, args...)
}

// readFile reads a file given on the command line. Its errors wrap errUsage.
func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, merry.Prepend(errUsage, err.Error())
	}
	return data, nil
}

// newID returns a random identifier for a change.
func newID() string {
	return rand.Text()
}
