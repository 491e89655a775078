package callerapi

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"

	"goji.io/pat"

	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// plain serves a call of a plain service.
func (h *Handler) plain(w http.ResponseWriter, r *http.Request) {
	request, refused := h.acceptCall(w, r)
	h.serve(w, r, request, refused, func(ctx context.Context, s *dispatch.Submission) {
		_, end, err := s.Answer.Read(ctx, 0)
		switch {
		case err != nil:
			h.extendWriteDeadline(w)
			unfinishedRefusal(ctx, request).Write(w, request.ID)
		case end.Refusal != nil:
			end.Refusal.Write(w, request.ID)
		default:
			h.extendWriteDeadline(w)
			d := &delivery{w: w, ctx: r.Context()}
			defer s.Answer.Memory.Deliver(h.Clock(), d)()
			writePlainResponse(w, d, end)
		}
	})
}

// writePlainResponse writes the response of a plain service.
func writePlainResponse(w http.ResponseWriter, d *delivery, end *dispatch.End) {
	maps.Copy(w.Header(), end.Response.Header)
	setBilledTokensHeader(w, end)
	w.WriteHeader(end.Response.Status)
	for _, piece := range end.Response.Body {
		d.write(piece)
	}
}

// acceptCall validates a call of a plain service.
func (h *Handler) acceptCall(w http.ResponseWriter, r *http.Request) (*dispatch.Request, *refusal.Refusal) {
	c, refused := h.authenticate(r)
	if refused != nil {
		return nil, h.unread(w, r, refused)
	}
	id := ident.Service(pat.Param(r, "service"))
	service, ok := c.index.Service(id)
	if !ok || service.Kind != configuration.KindPlain || !slices.Contains(c.application.Services, id) {
		return nil, h.unread(w, r, refusal.New(refusal.NotFound, "service %q is not offered to this application", id))
	}
	body, refused := h.readBody(w, r)
	if refused != nil {
		return nil, refused
	}
	request, refused := h.newRequest(r, c, id, body)
	if refused != nil {
		return nil, refused
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+string(id))
	call := matchCall(service, r.Method, path)
	request.Idempotent = request.Idempotent && call.Idempotent
	request.MaxCost = max(call.Cost, 1)
	request.Call = &dispatch.Call{
		Cost: call.Cost,
		Forward: plainclient.Call{
			Method: r.Method,
			Path:   path,
			Header: forwardedHeader(r.Header),
			Body:   body,
		},
	}
	return request, nil
}

// matchCall returns the rule with the longest matching path prefix. Without one,
// only calls with a safe method are idempotent.
func matchCall(service *configuration.Service, method, path string) configuration.Call {
	var best *configuration.Call
	for i := range service.Calls {
		c := &service.Calls[i]
		if c.Method != method || !strings.HasPrefix(path, c.PathPrefix) {
			continue
		}
		if best == nil || len(c.PathPrefix) > len(best.PathPrefix) {
			best = c
		}
	}
	if best != nil {
		return *best
	}
	return configuration.Call{Idempotent: isSafeMethod(method), Cost: tokens.Count(0)}
}

func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// forwardedHeader returns the headers to forward to the service: all except the
// caller's fleet key.
func forwardedHeader(h http.Header) http.Header {
	h = h.Clone()
	h.Del("Authorization")
	return h
}
