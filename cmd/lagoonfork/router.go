package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/etcd"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/metrics"
	"example.org/lagoonfork/internal/router"
	"example.org/lagoonfork/internal/settings"
	"example.org/lagoonfork/internal/vmlist"
)

// errSuperseded reports that a newer process is registered for the VM.
var errSuperseded = errors.New("a newer router process is registered for this VM")

func registerRouter(ctx context.Context, app *kingpin.Application) {
	cmd := app.Command("router", "Run the router of one entry VM until SIGTERM.")
	file := cmd.Flag("settings", "File with the settings, in JSON.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error { return runRouter(ctx, *file) })
}

// runRouter serves until ctx ends or a newer process is registered for the VM,
// then drains. On SIGHUP it reads the settings file and logs any error, but applies nothing.
func runRouter(ctx context.Context, file string) (err error) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	s, err := readSettings(file)
	if err != nil {
		return usageError{err}
	}
	client, err := etcd.New(etcd.Settings{
		Addresses: storeURLs(s.Store),
		Timeout:   time.Duration(s.Limits.StoreTimeoutMillis) * time.Millisecond,
	})
	if err != nil {
		return usageError{err}
	}
	vms := vmlist.NewClient(vmlist.Settings{URL: "http://" + s.VMList.String()})
	vm, err := resources(int64(s.Limits.MemoryMegabytes)*bytesPerMegabyte, s.Limits.Descriptors)
	if err != nil {
		return err
	}
	options := routerSettings(s, vm, client, vms)
	r, err := router.Start(ctx, options)
	if err != nil {
		return err
	}
	expvar.Publish(metrics.Name, r.Metrics().Map())
	for running := true; running; {
		select {
		case <-reload:
			_, err := readSettings(file) // only checked: settings take effect at the next start
			event.SettingsReloaded.Info(options.Log, "error", err)
		case <-ctx.Done():
			running = false
		case <-r.Done():
			running, err = false, errSuperseded
		}
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Limits.DrainTimeoutSeconds)*time.Second)
	defer cancel()
	return errors.Join(err, r.Close(drainCtx))
}

func readSettings(file string) (s settings.Settings, err error) {
	defer func() { err = merry.Prependf(err, "settings %s", file) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	return settings.Decode(data)
}

func routerSettings(s settings.Settings, vm callerlimit.VM, client *etcd.Client, vms *vmlist.Client) router.Settings {
	l := s.Limits
	return router.Settings{
		VM:            s.VM,
		Incarnation:   s.Incarnation,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		Secret:        string(s.PeerSecret),
		Store:         client,
		VMs:           vms,
		Limits: router.Limits{
			MaxBody:        int64(l.MaxBodyBytes),
			MaxHeader:      l.MaxHeaderBytes,
			MaxStreams:     l.MaxStreams,
			MaxConnections: l.MaxConnections,
			ReadTimeout:    time.Duration(l.ReadTimeoutMillis) * time.Millisecond,
			WriteTimeout:   time.Duration(l.WriteTimeoutMillis) * time.Millisecond,
			IdleTimeout:    time.Duration(l.IdleTimeoutMillis) * time.Millisecond,
			StoreTimeout:   time.Duration(l.StoreTimeoutMillis) * time.Millisecond,
			PeerTimeout:    time.Duration(l.PeerTimeoutMillis) * time.Millisecond,
			VM:             vm,
		},
		Timing: router.Timing{DrainDelay: drainDelay},
		Clock:  time.Now,
		Log:    newLogger(s.Log.Level, s.Log.Format == "json").With("vm", s.VM),
	}
}

// drainDelay is how long a router that shuts down still accepts new requests,
// until the platform's load balancer has detected that it is not ready.
const drainDelay = 3 * time.Second

// storeURLs returns the base URLs of the key-value service's gateways.
func storeURLs[T fmt.Stringer](addresses []T) []string {
	urls := make([]string, len(addresses))
	for i, a := range addresses {
		urls[i] = "http://" + a.String()
	}
	return urls
}
