package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/pkg/ident"
)

// Edge holds the settings of an edge router.
type Edge struct {
	VM            ident.VM            `json:"vm" format:"id"`
	FailureDomain ident.FailureDomain `json:"failureDomain" format:"id"`
	Region        ident.Region        `json:"region" format:"id"`
	CallerAddress netip.AddrPort      `json:"callerAddress"`
	ReadyAddress  netip.AddrPort      `json:"readyAddress"`
	ReadyPath     string              `json:"readyPath" min:"1" max:"256" unit:"bytes"`
	PeerAddress   netip.AddrPort      `json:"peerAddress"`
	Seeds         []netip.AddrPort    `json:"seeds" max:"16" unit:"addresses"`
	Store         netip.AddrPort      `json:"store"`
	Log           Log                 `json:"log"`
	Repeats       Repeats             `json:"repeats"`
	WarmUp        WarmUp              `json:"warmUp"`
	// ProcessorShare is the number of cores of the VM, which may be a fraction.
	// LinkMegabits is the bandwidth of its network link.
	ProcessorShare float64 `json:"processorShare" default:"1" min:"0.001" max:"1024" unit:"cores"`
	LinkMegabits   float64 `json:"linkMegabits" default:"1000" min:"0.1" max:"1000000" unit:"Mbit/s"`
	// MemoryMegabytes is the memory of the VM, and Descriptors how many file descriptors the
	// process may have. They limit what callers may make the router hold; 0 means no limits.
	MemoryMegabytes float64 `json:"memoryMegabytes" default:"0" min:"0" max:"1000000" unit:"MB"`
	Descriptors     int     `json:"descriptors" default:"0" min:"0" max:"10000000" unit:"descriptors"`
	// DrainTimeoutSeconds is the maximum duration of a shutdown.
	DrainTimeoutSeconds float64 `json:"drainTimeoutSeconds" default:"8" min:"0.1" max:"600" unit:"seconds"`
}

// Repeats limits how many requests all routers together send again in a time
// window, to Ratio times the number of requests in it plus Slack.
type Repeats struct {
	Ratio         float64 `json:"ratio" min:"0" max:"1" unit:"of the requests"`
	Slack         float64 `json:"slack" min:"0" max:"1000000" unit:"requests"`
	WindowSeconds float64 `json:"windowSeconds" min:"0.1" max:"600" unit:"seconds"`
}

// WarmUp limits the requests that all routers together send to an upstream that warms up in any
// second, to Factor times what its service allows plus Slack.
type WarmUp struct {
	Factor float64 `json:"factor" default:"1.5" min:"0" max:"1000" unit:"of the requests that a cold upstream can handle"`
	Slack  float64 `json:"slack" default:"5" min:"0" max:"1000000" unit:"requests"`
}

// Window returns the length of the time window.
func (r Repeats) Window() time.Duration { return seconds(r.WindowSeconds) }

// DrainTimeout returns the maximum duration of a shutdown.
func (e Edge) DrainTimeout() time.Duration { return seconds(e.DrainTimeoutSeconds) }

// Resources of a small VM, which has capacity 1.
const (
	unitProcessorShare = 0.1 // cores
	unitLinkMegabits   = 10  // Mbit/s
)

// Capacity returns the capacity of the VM as a multiple of that of a small VM.
// The scarcer of processor and link determines it; it is at least 1.
func (e Edge) Capacity() int {
	return max(1, int(min(e.ProcessorShare/unitProcessorShare, e.LinkMegabits/unitLinkMegabits)))
}

// LinkBytes returns the bandwidth of the VM's link in bytes per second.
func (e Edge) LinkBytes() float64 { return e.LinkMegabits * bytesPerMegabit }

// MemoryBytes returns the memory of the VM in bytes.
func (e Edge) MemoryBytes() int64 { return int64(e.MemoryMegabytes * bytesPerMegabyte) }

// bytesPerMegabyte converts MB to bytes.
const bytesPerMegabyte = 1e6

// bytesPerMegabit converts Mbit to bytes.
const bytesPerMegabit = 1e6 / 8

// DecodeEdge decodes the settings of an edge router. If any field is invalid,
// the error wraps document.Problems.
func DecodeEdge(data []byte) (e Edge, err error) {
	defer func() { err = merry.Prepend(err, "reading the settings") }()
	problems := document.Decode(data, &e)
	problems = checkListenAddress(problems, "callerAddress", e.CallerAddress)
	problems = checkListenAddress(problems, "readyAddress", e.ReadyAddress)
	problems = checkListenAddress(problems, "peerAddress", e.PeerAddress)
	problems = checkDialAddress(problems, "store", e.Store)
	for i, a := range e.Seeds {
		problems = checkDialAddress(problems, fmt.Sprintf("seeds[%d]", i), a)
	}
	return e, problems.Err()
}

// ReadEdge reads and decodes a file with the settings of an edge router.
func ReadEdge(file string) (e Edge, err error) {
	defer func() { err = merry.Prependf(err, "settings %s", file) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return e, err
	}
	return DecodeEdge(data)
}

// DefaultEdge returns the defaults of the settings that have one.
func DefaultEdge() (e Edge) {
	_ = document.Decode([]byte("{}"), &e) // reports the fields without a default
	return e
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
