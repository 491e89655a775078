// Package writer has the changes of the quarantine written by one router for all,
// so that routers which see the same crash do not write against each other.
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

// Path is the path of the call that has changes written.
const Path = "/peer/quarantine"

const (
	// dutyName names the writing of the list.
	dutyName = "quarantine"
	// maxChanges bounds the changes of one call in bytes.
	maxChanges = 1 << 20
)

// Caller calls the router that carries out a duty. See package duty.
type Caller interface {
	Call(ctx context.Context, duty, path string, question, answer any) error
}

// Writer passes changes to the router that writes them.
type Writer struct {
	caller Caller
}

// New returns a writer.
func New(c Caller) *Writer {
	return &Writer{caller: c}
}

// Write implements keeper.Writer.
func (w *Writer) Write(ctx context.Context, changes []quarantine.Change) (err error) {
	defer func() { err = merry.Prepend(err, "passing changes of the quarantine") }()
	var answer struct{}
	return w.caller.Call(ctx, dutyName, Path, changes, &answer)
}

// Keeper writes the changes of other routers.
type Keeper interface {
	Write(ctx context.Context, changes []quarantine.Change) error
}

// Handler serves the calls of other routers.
func Handler(k Keeper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var changes []quarantine.Change
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChanges)).Decode(&changes); err != nil {
			http.Error(w, "the changes cannot be read", http.StatusBadRequest)
			return
		}
		duty.Answer(w, struct{}{}, k.Write(r.Context(), changes))
	})
}
