// Package writer sends quarantine changes to one router that writes them for all,
// so that routers which observe the same crash do not cause conflicting writes.
//
// # Usage
//
//	w := writer.New(caller)
//	k := keeper.New(keeper.Settings{Writer: w, ...})
//	mux.Handle(pat.Post(writer.Path), writer.Handler(k))
package writer

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/duty"
	"example.org/lagoonfork/internal/quarantine"
)

// Path is the HTTP path to which routers post changes.
const Path = "/peer/quarantine/changes"

const (
	// dutyName identifies the duty of writing the list. See package duty.
	dutyName = "quarantine"
	// maxBodyBytes is the limit of the size of a request body.
	maxBodyBytes = 1 << 20
)

// Caller calls the router that performs a duty. See package duty.
type Caller interface {
	Call(ctx context.Context, duty, path string, request, response any) error
}

// Writer sends changes to the router that writes them.
type Writer struct {
	caller Caller
}

// New returns a Writer that uses c.
func New(c Caller) *Writer {
	return &Writer{caller: c}
}

// Write implements keeper.Writer.
func (w *Writer) Write(ctx context.Context, changes []quarantine.Change) (err error) {
	defer func() { err = merry.Prepend(err, "sending quarantine changes") }()
	var response struct{}
	return w.caller.Call(ctx, dutyName, Path, changes, &response)
}

// Keeper writes changes that other routers send.
type Keeper interface {
	Write(ctx context.Context, changes []quarantine.Change) error
}

// Handler returns the handler for changes that other routers send. It responds once
// k has written them or failed, and with status 400 to a body that cannot be read.
func Handler(k Keeper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var changes []quarantine.Change
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&changes); err != nil {
			http.Error(w, "the changes cannot be read", http.StatusBadRequest)
			return
		}
		duty.WriteResult(w, struct{}{}, k.Write(r.Context(), changes))
	})
}
