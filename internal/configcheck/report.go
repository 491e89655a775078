package configcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/internal/jsontree"
)

// Exit statuses of a check.
const (
	StatusOK       = 0 // nothing to report, or only differences
	StatusWarnings = 1
	StatusErrors   = 2 // also if the check could not be made
)

// ExitStatus returns the exit status for the findings.
func (r Report) ExitStatus() int {
	switch {
	case len(r.Errors) > 0:
		return StatusErrors
	case len(r.Warnings) > 0:
		return StatusWarnings
	}
	return StatusOK
}

// Formats of a written report.
const (
	FormatText = "text" // one line for each finding
	FormatJSON = "json" // one object
)

// Write writes the report to w.
func (r Report) Write(w io.Writer, format string) (err error) {
	defer func() { err = merry.Prepend(err, "writing the report") }()
	if format == FormatJSON {
		r.Errors = append(document.Problems{}, r.Errors...) // lists without elements are [] rather than null
		r.Warnings = append(document.Problems{}, r.Warnings...)
		r.Differences = append([]jsontree.Change{}, r.Differences...)
		e := json.NewEncoder(w)
		e.SetEscapeHTML(false)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	var b strings.Builder
	for _, p := range r.Errors {
		fmt.Fprintf(&b, "error %s\n", p)
	}
	for _, p := range r.Warnings {
		fmt.Fprintf(&b, "warning %s\n", p)
	}
	for _, c := range r.Differences {
		fmt.Fprintln(&b, c)
	}
	_, err = io.WriteString(w, b.String())
	return err
}
