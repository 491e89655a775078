package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/examples"
	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/embedded"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/pkg/answers"
)

// embeddedTokenInterval is the time between two tokens of the fake engines.
const embeddedTokenInterval = 20 * time.Millisecond

// drainTimeout is the maximum duration of draining the routers.
const drainTimeout = 30 * time.Second

// embeddedCommand holds the flags of the command that runs a deployment in one
// process.
type embeddedCommand struct {
	listen  string
	answers string
	once    bool
	routers int
	memory  int // MB
	level   string
}

func registerEmbedded(ctx context.Context, app *kingpin.Application) {
	c := new(embeddedCommand)
	cmd := app.Command("embedded", "Run routers, a platform and upstreams in one process.")
	cmd.Flag("listen", "IP address and port for callers.").Default("127.0.0.1:8080").StringVar(&c.listen)
	cmd.Flag("answers", "File with the answers; an example by default.").StringVar(&c.answers)
	cmd.Flag("once", "Send a sample of requests, audit the ledger and stop.").BoolVar(&c.once)
	cmd.Flag("routers", "Number of routers.").Default("1").IntVar(&c.routers)
	cmd.Flag("memory-megabytes", "Memory that callers and other routers may not exhaust; that of the system or of its container by default.").IntVar(&c.memory)
	cmd.Flag("log-level", "trace, debug, info, warn or error.").Default("warn").StringVar(&c.level)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run(ctx, os.Stdout) })
}

func (c *embeddedCommand) run(ctx context.Context, out io.Writer) (err error) {
	settings, keys, err := c.settings()
	if err != nil {
		return usageError{err}
	}
	d, err := embedded.Start(ctx, settings)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		err = errors.Join(err, d.Close(ctx))
	}()
	if c.once {
		return runSample(ctx, out, d, keys)
	}
	printExampleCalls(out, d, keys)
	<-ctx.Done()
	return nil
}

// settings returns the settings of the deployment and the plain keys of its
// applications.
func (c *embeddedCommand) settings() (s embedded.Settings, keys embedded.APIKeys, err error) {
	data := examples.Jegvirag
	if c.answers != "" {
		data, err = os.ReadFile(c.answers)
		if err != nil {
			return s, nil, err
		}
	}
	s.Answers, err = answers.Decode(data)
	if err != nil {
		return s, nil, err
	}
	if keys, err = embedded.PlaintextKeys(data); err != nil {
		return s, nil, err
	}
	if s.Listen, err = c.listenAddress(); err != nil {
		return s, nil, err
	}
	s.Routers = c.routers
	vm, err := resources(int64(c.memory)*bytesPerMegabyte, 0)
	if err != nil {
		return s, nil, err
	}
	n := max(c.routers, 1)
	s.Limits.VM = callerlimit.VM{Memory: vm.Memory / int64(n), Descriptors: vm.Descriptors / n}
	s.Engine = engine.Settings{TokenInterval: embeddedTokenInterval}
	s.Clock = time.Now
	s.Log = newLogger(c.level, false)
	return s, keys, nil
}

// listenAddress parses the address for callers. With --once it returns the zero
// address, which stands for any free port of 127.0.0.1.
func (c *embeddedCommand) listenAddress() (a netip.AddrPort, err error) {
	if c.once {
		return a, nil
	}
	if a, err = netip.ParseAddrPort(c.listen); err != nil {
		return a, fmt.Errorf("--listen: %w", err)
	}
	return a, nil
}

// runSample sends the sample requests and prints the results: a table of the
// requests and the audit report as a last line of JSON.
func runSample(ctx context.Context, out io.Writer, d *embedded.Deployment, keys embedded.APIKeys) error {
	s := &embedded.Sample{Deployment: d, Keys: keys}
	report, err := s.Run(ctx)
	printSteps(out, s.Steps)
	if encodeErr := json.NewEncoder(out).Encode(report); encodeErr != nil {
		return encodeErr
	}
	if err == nil && !report.Clean() {
		err = errors.New("the audit of the ledger found a violation")
	}
	return err
}

func printSteps(out io.Writer, steps []embedded.Step) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUEST\tSTATUS\tBILLED TOKENS\tCHECK")
	for _, s := range steps {
		check := "ok"
		if s.Err != nil {
			check = s.Err.Error()
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", s.Name, s.Status, s.Billed, check)
	}
	_ = table.Flush() // nothing can be printed to a closed output
}

// printExampleCalls prints shell commands that call the deployment.
func printExampleCalls(out io.Writer, d *embedded.Deployment, keys embedded.APIKeys) {
	fmt.Fprintf(out, "Serving callers at %s. Try:\n", d.URL(0))
	s := &embedded.Sample{Deployment: d, Keys: keys}
	for _, call := range s.CurlCommands() {
		fmt.Fprintf(out, "\n%s\n", call)
	}
}

func newLogger(level string, asJSON bool) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "lagoonfork",
		Level:      hclog.LevelFromString(level),
		JSONFormat: asJSON,
		Output:     os.Stderr,
	})
}
