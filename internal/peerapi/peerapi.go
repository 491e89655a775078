// Package peerapi implements the endpoint for the router's peers and for operators'
// commands. Every call must carry the fleet's secret.
//
// # Usage
//
//	http.Serve(listener, peerapi.New(peerapi.Settings{...}))
package peerapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"goji.io"
	"goji.io/pat"

	"example.org/lagoonfork/internal/directory"
	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/internal/journal"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/internal/metrics"
	"example.org/lagoonfork/internal/peerclient"
	"example.org/lagoonfork/internal/quarantine/inspection"
	"example.org/lagoonfork/internal/replay"
	"example.org/lagoonfork/internal/routing"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxBodyBytes limits the body of a call.
	maxBodyBytes = 16 << 20
	// bodyFactor is the memory that a call takes for each byte of its body: a buffer, a second one
	// for decoding that grows, and what is decoded from it.
	bodyFactor = 4
)

// Settings configures the endpoint. All fields are required.
type Settings struct {
	Secret        string
	Dispatcher    *dispatch.Dispatcher
	Wallet        *wallet.Wallet
	Ledger        Ledger
	Directory     *directory.Directory
	Quarantine    inspection.Keeper
	Journal       *journal.Journal
	Metrics       *metrics.Metrics
	Status        func() peerclient.Status
	Configuration Configuration
	BodyTimeout   time.Duration // bounds the time to read a body
	Clock         func() time.Time
	Log           hclog.Logger
}

// Ledger applies ops, the operations on the ledger's budgets, on behalf of other
// routers.
type Ledger interface {
	// Push applies op asynchronously and calls done once the op is durable.
	Push(op ledger.Op, done func(ledger.Result))
	// ApplyLocal applies ops in order to a page that this router owns. It returns
	// an error unless all ops are durable.
	ApplyLocal(ctx context.Context, page int, ops []ledger.Op) ([]ledger.Result, error)
}

// Configuration provides the configuration in force to peers.
type Configuration interface {
	// AwaitHead waits until a revision above the given one is in force and returns
	// its manifest. If ctx is done first, the manifest has only its revision set.
	AwaitHead(ctx context.Context, above configuration.Revision) manifest.Manifest
	// Part returns the content of a part of the configuration.
	Part(digest manifest.Digest) ([]byte, error)
}

// Handler serves the endpoint.
type Handler struct {
	Settings
	mux     *goji.Mux
	counted http.Handler // mux, with the memory of the bodies counted
}

// New returns a Handler.
func New(s Settings) *Handler {
	h := &Handler{Settings: s, mux: goji.NewMux()}
	h.mux.HandleFunc(pat.Get(peerclient.PathStatus), h.status)
	h.mux.HandleFunc(pat.Get(peerclient.PathAnswers), h.answer)
	h.mux.HandleFunc(pat.Post(peerclient.PathBills), h.acceptBills)
	h.mux.HandleFunc(pat.Post(peerclient.PathRecall), h.recall)
	h.mux.HandleFunc(pat.Post(peerclient.PathStandby), h.holdStandby)
	h.mux.HandleFunc(pat.Post(peerclient.PathLedger+":page"), h.applyOps)
	h.mux.HandleFunc(pat.Get(peerclient.PathUpstreams), h.upstreams)
	h.mux.HandleFunc(pat.Post(peerclient.PathUpstreams+"/:upstream/drain"), h.drain)
	h.mux.HandleFunc(pat.Get(peerclient.PathCustomers), h.customers)
	h.mux.HandleFunc(pat.Get(peerclient.PathRequests+":request"), h.request)
	h.mux.HandleFunc(pat.Get(peerclient.PathConfigurationHead), h.configurationHead)
	h.mux.HandleFunc(pat.Get(peerclient.PathConfigurationParts+":digest"), h.configurationPart)
	h.mux.HandleFunc(pat.Get(peerclient.PathMetrics), h.metrics)
	h.mux.Handle(pat.Get(inspection.Path), inspection.List(s.Quarantine))
	h.mux.Handle(pat.Delete(inspection.Path+"/:digest"), inspection.Clear(s.Quarantine, s.Clock))
	h.mux.Handle(pat.Get("/debug/vars"), expvar.Handler())
	h.counted = guard.Bodies(guard.BodySettings{Handler: h.mux, Factor: bodyFactor, Timeout: s.BodyTimeout, Clock: s.Clock})
	return h
}

// ServeHTTP serves a call that carries the secret and refuses any other.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	secret := []byte(r.Header.Get(peerclient.SecretHeader))
	if subtle.ConstantTimeCompare(secret, []byte(h.Secret)) != 1 {
		event.PeerRefused.Warn(h.Log, "remote", r.RemoteAddr, "path", r.URL.Path)
		if r.ContentLength != 0 {
			guard.Abandon(w, h.Clock())
		}
		http.Error(w, "the fleet's secret is missing or wrong", http.StatusUnauthorized)
		return
	}
	guard.Accept(r.Context())
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.counted.ServeHTTP(w, r)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.Status())
}

// answer waits for an answer to end, up to peerclient.AnswerWait. It responds with
// status 202 if the peer should call again.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), peerclient.AnswerWait)
	defer cancel()
	held, err := h.Dispatcher.AwaitAnswer(ctx, replay.Key(r.URL.Query().Get("key")))
	switch {
	case errors.Is(err, dispatch.ErrNotHeld):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusAccepted)
	default:
		writeJSON(w, held)
	}
}

// acceptBills accepts the bills, as ledger ops, of a router that cannot reach the
// key-value service.
func (h *Handler) acceptBills(w http.ResponseWriter, r *http.Request) {
	ops, ok := decodeBody[[]ledger.Op](h, w, r)
	if !ok {
		return
	}
	for _, op := range ops {
		h.Ledger.Push(op, func(ledger.Result) {})
	}
	event.RecordsAccepted.Info(h.Log, "ops", len(ops))
	writeJSON(w, struct{}{})
}

// recall returns tokens of this router's share of a budget to the budget.
func (h *Handler) recall(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeBody[struct {
		Budget ident.Budget `json:"budget"`
		Want   tokens.Count `json:"want"`
	}](h, w, r)
	if !ok {
		return
	}
	returned := h.Wallet.ReturnTokens(r.Context(), in.Budget, in.Want)
	writeJSON(w, struct {
		Returned tokens.Count `json:"returned"`
	}{returned})
}

// holdStandby makes the wallet hold a standby reserve of a budget that the calling router
// serves.
func (h *Handler) holdStandby(w http.ResponseWriter, r *http.Request) {
	notice, ok := decodeBody[wallet.Notice](h, w, r)
	if !ok {
		return
	}
	h.Wallet.HoldStandby(h.Clock(), notice)
	writeJSON(w, struct{}{})
}

// applyOps applies ops to a ledger page that this router owns.
func (h *Handler) applyOps(w http.ResponseWriter, r *http.Request) {
	page, err := strconv.Atoi(pat.Param(r, "page"))
	if err != nil {
		http.Error(w, "page: not a number", http.StatusBadRequest)
		return
	}
	ops, ok := decodeBody[[]ledger.Op](h, w, r)
	if !ok {
		return
	}
	results, err := h.Ledger.ApplyLocal(r.Context(), page, ops)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, results)
}

// upstreams lists the state of each upstream in the routing tables.
func (h *Handler) upstreams(w http.ResponseWriter, _ *http.Request) {
	type row struct {
		Service ident.Service `json:"service"`
		routing.Status
	}
	rows := []row{}
	for _, s := range h.Directory.All() {
		for _, status := range s.Table.Status() {
			rows = append(rows, row{s.Configuration.ID, status})
		}
	}
	writeJSON(w, rows)
}

// drain marks an upstream as leaving at an operator's request, so that it gets no
// new work.
func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	id := ident.Upstream(pat.Param(r, "upstream"))
	known := false
	for _, s := range h.Directory.All() {
		known = known || s.Table.Contains(id)
		if s.Table.SetLeaving(id, routing.SourceOperator, true) {
			event.UpstreamLeaving.Info(h.Log, "upstream", id, "source", "operator")
		}
	}
	if !known {
		http.Error(w, "no such upstream", http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		Upstream ident.Upstream `json:"upstream"`
	}{id})
}

// customers lists the load of each customer on the admission gates.
func (h *Handler) customers(w http.ResponseWriter, _ *http.Request) {
	type row struct {
		Service  ident.Service  `json:"service"`
		Customer ident.Customer `json:"customer"`
		InFlight tokens.Count   `json:"inFlightTokens"`
		Waiting  int            `json:"waitingRequests"`
	}
	rows := []row{}
	for _, s := range h.Directory.All() {
		for customer, load := range s.Gate.Loads() {
			rows = append(rows, row{s.Configuration.ID, customer, load.InFlight, load.Waiting})
		}
	}
	writeJSON(w, rows)
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, h.Metrics.Map().String()) // the peer may have disconnected
}

// request lists the journal's entries about a request.
func (h *Handler) request(w http.ResponseWriter, r *http.Request) {
	entries := h.Journal.Find(ident.Request(pat.Param(r, "request")))
	if entries == nil {
		entries = []journal.Entry{}
	}
	writeJSON(w, entries)
}

// configurationHead responds with the manifest of the configuration in force. It waits
// up to peerclient.ConfigurationHeadWait for a revision above the one that the peer
// holds.
func (h *Handler) configurationHead(w http.ResponseWriter, r *http.Request) {
	above, err := strconv.ParseInt(r.URL.Query().Get("above"), 10, 64)
	if err != nil {
		http.Error(w, "above: not a revision", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), peerclient.ConfigurationHeadWait)
	defer cancel()
	writeJSON(w, h.Configuration.AwaitHead(ctx, configuration.Revision(above)))
}

// configurationPart responds with the content of a part of the configuration.
func (h *Handler) configurationPart(w http.ResponseWriter, r *http.Request) {
	data, err := h.Configuration.Part(manifest.Digest(pat.Param(r, "digest")))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the peer may have disconnected
}

func writeJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the peer may have disconnected
}
