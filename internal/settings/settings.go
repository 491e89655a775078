// Package settings decodes the JSON settings of routers, edge routers and the
// operators' commands.
//
// Every invalid field is reported with its JSON path, and unknown fields are
// invalid. The fields, their bounds and defaults are listed in
// docs/CONFIGURATION.md.
//
// # Usage
//
//	s, err := settings.Decode(data)
//	var problems document.Problems
//	if errors.As(err, &problems) {
//		os.Exit(2)
//	}
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/pkg/ident"
)

// Settings holds the settings of the router of one VM.
type Settings struct {
	VM ident.VM `json:"vm" format:"id"`
	// Incarnation identifies the run of the router. The router generates one if
	// it is absent.
	Incarnation   ident.Incarnation   `json:"incarnation,omitempty" format:"id"`
	CallerAddress netip.AddrPort      `json:"callerAddress"`
	PeerAddress   netip.AddrPort      `json:"peerAddress"`
	FailureDomain ident.FailureDomain `json:"failureDomain" format:"id"`
	Region        ident.Region        `json:"region" format:"id"`
	Store         []netip.AddrPort    `json:"store" min:"1" max:"16" unit:"addresses"`
	VMList        netip.AddrPort      `json:"vmList"`
	PeerSecret    Secret              `json:"peerSecret" min:"16" max:"512" unit:"bytes"`
	Log           Log                 `json:"log"`
	Limits        Limits              `json:"limits"`
}

// Log holds the level and the output format of the log.
type Log struct {
	Level  string `json:"level" default:"info" oneof:"debug|info|warn|error"`
	Format string `json:"form" default:"text" oneof:"text|json"`
}

// Limits holds resource limits and timeouts of the router.
type Limits struct {
	MaxBodyBytes        int `json:"maxBodyBytes" default:"4194304" min:"1024" max:"268435456" unit:"bytes"`
	MaxHeaderBytes      int `json:"maxHeaderBytes" default:"32768" min:"1024" max:"1048576" unit:"bytes"`
	MaxStreams          int `json:"maxStreams" default:"2000" min:"1" max:"100000" unit:"requests"`
	MaxConnections      int `json:"maxConnections" default:"4000" min:"1" max:"200000" unit:"connections"`
	ReadTimeoutMillis   int `json:"readTimeoutMillis" default:"15000" min:"100" max:"600000" unit:"milliseconds"`
	WriteTimeoutMillis  int `json:"writeTimeoutMillis" default:"30000" min:"100" max:"600000" unit:"milliseconds"`
	IdleTimeoutMillis   int `json:"idleTimeoutMillis" default:"60000" min:"100" max:"3600000" unit:"milliseconds"`
	StoreTimeoutMillis  int `json:"storeTimeoutMillis" default:"2000" min:"10" max:"60000" unit:"milliseconds"`
	PeerTimeoutMillis   int `json:"peerTimeoutMillis" default:"1000" min:"10" max:"60000" unit:"milliseconds"`
	DrainTimeoutSeconds int `json:"drainTimeoutSeconds" default:"600" min:"1" max:"86400" unit:"seconds"`
	// MemoryMegabytes is the memory of the VM, and Descriptors how many file descriptors the
	// process may have. 0 means those that the system reports.
	MemoryMegabytes int `json:"memoryMegabytes" default:"0" min:"0" max:"1000000" unit:"MB"`
	Descriptors     int `json:"descriptors" default:"0" min:"0" max:"10000000" unit:"descriptors"`
}

// ReadTimeout returns the timeout for reading a request.
func (l Limits) ReadTimeout() time.Duration { return millis(l.ReadTimeoutMillis) }

// WriteTimeout returns the timeout of one write to a caller.
func (l Limits) WriteTimeout() time.Duration { return millis(l.WriteTimeoutMillis) }

// IdleTimeout returns how long an idle connection of a caller is kept open.
func (l Limits) IdleTimeout() time.Duration { return millis(l.IdleTimeoutMillis) }

// StoreTimeout returns the timeout of one call to the key-value service.
func (l Limits) StoreTimeout() time.Duration { return millis(l.StoreTimeoutMillis) }

// PeerTimeout returns the timeout of one call to a peer.
func (l Limits) PeerTimeout() time.Duration { return millis(l.PeerTimeoutMillis) }

// DrainTimeout returns how long a router that shuts down waits for requests in
// flight.
func (l Limits) DrainTimeout() time.Duration {
	return time.Duration(l.DrainTimeoutSeconds) * time.Second
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// Secret is the shared secret that authenticates peers and operators. Formatting
// a Secret does not reveal it; string(s) is its value.
type Secret string

// String returns a placeholder for the secret.
func (Secret) String() string { return "(hidden)" }

// GoString returns a placeholder for the secret.
func (Secret) GoString() string { return "(hidden)" }

// Decode decodes the settings of a router. If any field is invalid, the error
// wraps document.Problems.
func Decode(data []byte) (s Settings, err error) {
	defer func() { err = merry.Prepend(err, "reading the settings") }()
	problems := document.Decode(data, &s)
	problems = checkListenAddress(problems, "callerAddress", s.CallerAddress)
	problems = checkListenAddress(problems, "peerAddress", s.PeerAddress)
	problems = checkDialAddress(problems, "vmList", s.VMList)
	for i, address := range s.Store {
		problems = checkDialAddress(problems, fmt.Sprintf("store[%d]", i), address)
	}
	if s.CallerAddress == s.PeerAddress && s.CallerAddress.Port() != 0 {
		problems = problems.Add("peerAddress", "%s is also callerAddress", s.PeerAddress)
	}
	return s, problems.Err()
}

// checkListenAddress checks an address on which the router listens. With port 0
// the system chooses a port.
func checkListenAddress(problems document.Problems, path string, address netip.AddrPort) document.Problems {
	switch {
	case !address.IsValid():
		return problems.Add(path, "is not an IP address with a port")
	case address.Addr().IsUnspecified(), address.Addr().IsMulticast():
		return problems.Add(path, "%s is not the address of one VM", address)
	}
	return problems
}

// checkDialAddress checks an address to which the router connects.
func checkDialAddress(problems document.Problems, path string, address netip.AddrPort) document.Problems {
	problems = checkListenAddress(problems, path, address)
	if address.IsValid() && address.Port() == 0 {
		return problems.Add(path, "has port 0")
	}
	return problems
}

// Operator holds the settings of the operators' commands.
type Operator struct {
	Store              []netip.AddrPort `json:"store" min:"1" max:"16" unit:"addresses"`
	PeerSecret         Secret           `json:"peerSecret" min:"16" max:"512" unit:"bytes"`
	StoreTimeoutMillis int              `json:"storeTimeoutMillis" default:"5000" min:"10" max:"60000" unit:"milliseconds"`
	PeerTimeoutMillis  int              `json:"peerTimeoutMillis" default:"2000" min:"10" max:"60000" unit:"milliseconds"`
	// InForceSeconds is how long apply waits until all VMs have a revision in
	// force. It also limits a top-up.
	InForceSeconds int `json:"inForceSeconds" default:"30" min:"1" max:"3600" unit:"seconds"`
}

// StoreTimeout returns the timeout of one call to the key-value service.
func (o Operator) StoreTimeout() time.Duration { return millis(o.StoreTimeoutMillis) }

// PeerTimeout returns the timeout of one call to a router.
func (o Operator) PeerTimeout() time.Duration { return millis(o.PeerTimeoutMillis) }

// InForce returns how long apply waits until all VMs have a revision in force. It is
// also the timeout of a top-up.
func (o Operator) InForce() time.Duration { return time.Duration(o.InForceSeconds) * time.Second }

// DecodeOperator decodes the settings of the operators' commands. If any field
// is invalid, the error wraps document.Problems.
func DecodeOperator(data []byte) (o Operator, err error) {
	defer func() { err = merry.Prepend(err, "reading the operator's settings") }()
	problems := document.Decode(data, &o)
	for i, address := range o.Store {
		problems = checkDialAddress(problems, fmt.Sprintf("store[%d]", i), address)
	}
	return o, problems.Err()
}
