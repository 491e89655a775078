package main

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/manual"
	"example.org/lagoonfork/internal/operator"
)

// errParsed is returned for a valid command line in place of running it.
var errParsed = errors.New("parsed")

// parse parses a command line like the program but does not run the command.
func parse(args []string) error {
	app := kingpin.New("lagoonfork", "").Terminate(nil)
	app.UsageWriter(io.Discard)
	registerRouter(context.Background(), app)
	registerEmbedded(context.Background(), app)
	operator.Register(app, operator.Environment{Context: context.Background()})
	app.Validate(func(*kingpin.Application) error { return errParsed })
	_, err := app.Parse(args)
	return err
}

// TestDocumentedCommandsParse checks that the command lines in the documentation
// are valid.
func TestDocumentedCommandsParse(t *testing.T) {
	pages, err := manual.Read("../..")
	require.NoError(t, err)
	checked := 0
	for _, p := range pages {
		for _, prefix := range []string{"go run ./cmd/lagoonfork", "lagoonfork"} {
			for _, command := range p.Commands(prefix) {
				if strings.Contains(command, "|") {
					continue // a synopsis with alternatives
				}
				args := strings.Fields(strings.TrimPrefix(command, prefix))
				assert.ErrorIs(t, parse(args), errParsed, "%s: %s", p.Path, command)
				checked++
			}
		}
	}
	assert.NotZero(t, checked)
}

func TestParseRefuses(t *testing.T) {
	for _, line := range []string{"router", "embedded --twice", "budget topUp b 5", "nothing"} {
		err := parse(strings.Fields(line))
		require.Error(t, err, line)
		assert.NotErrorIs(t, err, errParsed, line)
	}
}
