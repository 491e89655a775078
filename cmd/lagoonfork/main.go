// Command lagoonfork routes requests of consortium members to shared language
// models and bills them to prepaid budgets.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"example.org/lagoonfork/internal/etcd"
	"example.org/lagoonfork/internal/operator"
	"example.org/lagoonfork/internal/settings"
	"example.org/lagoonfork/pkg/store"
)

// usageError is an error in the command line or in a file given on it.
type usageError struct{ error }

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.error }

func main() {
	app := kingpin.New("lagoonfork", "Routes requests to shared language models and bills them to prepaid budgets.")
	app.HelpFlag.Short('h')
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	registerRouter(ctx, app)
	registerEmbedded(ctx, app)
	operator.Register(app, operator.Environment{
		Context: ctx,
		Input:   os.Stdin,
		Output:  os.Stdout,
		Errors:  os.Stderr,
		Open:    openStore,
		Clock:   time.Now,
	})
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonfork:", err)
		os.Exit(exitCode(err))
	}
}

func openStore(s settings.Operator) (store.Store, error) {
	return etcd.New(etcd.Settings{
		Addresses: storeURLs(s.Store),
		Timeout:   time.Duration(s.StoreTimeoutMillis) * time.Millisecond,
	})
}

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return operator.ExitUsage
	}
	return operator.ExitCode(err)
}
