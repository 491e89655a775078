// Package embedded runs a complete small deployment in one process: real
// routers with fake platform services and fake upstreams.
//
// The deployment is configured in the same way as in production: its answers
// are validated, published to the key-value service and watched by the routers.
// The addresses of the upstreams in the answers are replaced by those of the
// fakes.
//
// # Usage
//
//	d, err := embedded.Start(ctx, embedded.Settings{Answers: a, Log: log})
//	if err != nil {
//		return err
//	}
//	defer d.Close(ctx)
//	url := d.URL(0)
package embedded

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/etcd"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/fake/gateway"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/fake/plainservice"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/internal/router"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Secret is the peer secret of every embedded fleet. It can be a constant
// because the routers listen for peers on the loopback interface only.
const Secret = "embedded-fleet-secret"

// Settings configures a Deployment. Answers, Clock and Log are required.
type Settings struct {
	Answers answers.Answers
	// Routers is the number of routers. The default is 1.
	Routers int
	// Listen is the address on which the first router serves callers. The
	// default is a free port of 127.0.0.1.
	Listen netip.AddrPort
	// Direct connects each router to the fake key-value service by a client of
	// its own instead of over the HTTP gateway, so that tests can inject faults
	// into a single router.
	Direct bool
	Timing router.Timing
	Limits router.Limits
	Engine engine.Settings
	Clock  func() time.Time
	Log    hclog.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	settings      Settings
	KeyValue      *keyvalue.Service
	Answers       answers.Answers
	Engines       map[ident.Upstream]*engine.Engine
	PlainServices map[ident.Upstream]*plainservice.Service
	Routers       []*router.Router
	// Clients holds the client of the fake key-value service of each router if
	// Settings.Direct is set, and nil entries otherwise.
	Clients        []*keyvalue.Client
	gateway        *http.Server
	gatewayAddress netip.AddrPort // of the key-value service's HTTP gateway
}

// Start starts a deployment and returns once its routers accept requests.
func Start(ctx context.Context, s Settings) (d *Deployment, err error) {
	defer func() { err = merry.Prepend(err, "starting the embedded deployment") }()
	d = &Deployment{
		settings:      s,
		KeyValue:      keyvalue.New(keyvalue.Settings{Clock: s.Clock}),
		Engines:       make(map[ident.Upstream]*engine.Engine),
		PlainServices: make(map[ident.Upstream]*plainservice.Service),
	}
	if err = d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close(ctx))
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.startGateway(); err != nil {
		return err
	}
	if err := d.startUpstreams(); err != nil {
		return err
	}
	publisher := publication.New(d.KeyValue.Client(), publication.Settings{Log: d.settings.Log})
	change := publication.Change{ID: "embedded", Answers: d.Answers}
	if _, err := publisher.Apply(ctx, change); err != nil {
		return err
	}
	for i := range max(d.settings.Routers, 1) {
		if err := d.StartRouter(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startGateway() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.gatewayAddress = l.Addr().(*net.TCPAddr).AddrPort()
	d.gateway = &http.Server{Handler: gateway.New(d.KeyValue.Client()), ReadHeaderTimeout: time.Minute}
	go func() { _ = d.gateway.Serve(l) }() // Serve returns when Close closes the server
	return nil
}

// startUpstreams starts a fake for each upstream and writes its address into
// the answers.
func (d *Deployment) startUpstreams() error {
	d.Answers = answers.Canonical(d.settings.Answers)
	for i := range d.Answers.Services {
		service := &d.Answers.Services[i]
		for j := range service.Upstreams {
			address, err := d.startUpstream(service, service.Upstreams[j])
			if err != nil {
				return err
			}
			service.Upstreams[j].Address = address
		}
	}
	return nil
}

func (d *Deployment) startUpstream(service *answers.Service, upstream answers.Upstream) (netip.AddrPort, error) {
	if service.Kind == configuration.KindPlain {
		plain := plainservice.New(plainservice.Settings{Slots: upstream.Slots, Clock: d.settings.Clock})
		d.PlainServices[upstream.ID] = plain
		return plain.Address(), nil
	}
	s := d.settings.Engine
	s.Slots = upstream.Slots
	s.ChecksFencing = upstream.ChecksFencing
	s.Clock = d.settings.Clock
	e, err := engine.New(s)
	if err != nil {
		return netip.AddrPort{}, err
	}
	d.Engines[upstream.ID] = e
	return e.Address(), nil
}

// StartRouter starts router i and replaces the previous router i, if any.
func (d *Deployment) StartRouter(ctx context.Context, i int) error {
	client, err := d.newStoreClient()
	if err != nil {
		return err
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	listen := loopback
	if i == 0 && d.settings.Listen.IsValid() {
		listen = d.settings.Listen
	}
	r, err := router.Start(ctx, router.Settings{
		VM:            ident.VM(fmt.Sprintf("vm-%d", i)),
		FailureDomain: d.failureDomain(i),
		Region:        "embedded",
		CallerAddress: listen,
		PeerAddress:   loopback,
		Secret:        Secret,
		Store:         client,
		Timing:        d.settings.Timing,
		Limits:        d.settings.Limits,
		Clock:         d.settings.Clock,
		Log:           d.settings.Log.Named(fmt.Sprintf("vm-%d", i)),
	})
	if err != nil {
		return err
	}
	d.setRouter(i, r, client)
	return nil
}

func (d *Deployment) setRouter(i int, r *router.Router, client store.Store) {
	direct, _ := client.(*keyvalue.Client)
	if i < len(d.Routers) {
		d.Routers[i], d.Clients[i] = r, direct
		return
	}
	d.Routers = append(d.Routers, r)
	d.Clients = append(d.Clients, direct)
}

func (d *Deployment) newStoreClient() (store.Store, error) {
	if d.settings.Direct {
		return d.KeyValue.Client(), nil
	}
	return etcd.New(etcd.Settings{Addresses: []string{"http://" + d.gatewayAddress.String()}})
}

// failureDomain assigns the routers to the failure domains of the upstreams in
// rotation.
func (d *Deployment) failureDomain(i int) ident.FailureDomain {
	var domains []ident.FailureDomain
	seen := make(map[ident.FailureDomain]bool)
	for _, s := range d.Answers.Services {
		for _, u := range s.Upstreams {
			if !seen[u.FailureDomain] {
				seen[u.FailureDomain] = true
				domains = append(domains, u.FailureDomain)
			}
		}
	}
	if len(domains) == 0 {
		return "embedded"
	}
	return domains[i%len(domains)]
}

// GatewayAddress returns the address of the HTTP gateway of the fake key-value
// service.
func (d *Deployment) GatewayAddress() netip.AddrPort { return d.gatewayAddress }

// URL returns the base URL at which router i serves callers.
func (d *Deployment) URL(i int) string {
	return "http://" + d.Routers[i].CallerAddress().String()
}

// CloseRouters drains and stops the routers.
func (d *Deployment) CloseRouters(ctx context.Context) error {
	var errs []error
	for _, r := range d.Routers {
		errs = append(errs, r.Close(ctx))
	}
	d.Routers = nil
	return errors.Join(errs...)
}

// Close drains and stops the routers, then stops the fakes.
func (d *Deployment) Close(ctx context.Context) error {
	errs := []error{d.CloseRouters(ctx)}
	for _, e := range d.Engines {
		errs = append(errs, e.Close())
	}
	for _, p := range d.PlainServices {
		errs = append(errs, p.Close())
	}
	if d.gateway != nil {
		errs = append(errs, d.gateway.Close())
	}
	return errors.Join(errs...)
}

// Allowed reports whether the configuration in force at the first router allows
// an application to use a service.
func (d *Deployment) Allowed(customer ident.Customer, application ident.Application, service ident.Service) bool {
	c, ok := d.Routers[0].Index().Customer(customer)
	if !ok {
		return false
	}
	for _, a := range c.Applications {
		if a.ID == application {
			return slices.Contains(a.Services, service)
		}
	}
	return false
}
