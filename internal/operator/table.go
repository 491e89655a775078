package operator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// columnPadding is the number of spaces between columns.
const columnPadding = 2

func printJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func printTable(w io.Writer, header []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

// decodeAny decodes JSON and keeps numbers as written.
func decodeAny(data []byte) (value any, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	err = d.Decode(&value)
	return value, err
}

// printValue prints any JSON value. A list of objects becomes a table with one
// column for each member, an object becomes one line for each member, with
// lists of objects last.
func printValue(w io.Writer, value any) error {
	switch v := value.(type) {
	case []any:
		return printList(w, v)
	case map[string]any:
		return printObject(w, v)
	}
	_, err := fmt.Fprintln(w, formatCell(value))
	return err
}

func printObject(w io.Writer, o map[string]any) error {
	var rows [][]string
	var nested []string
	for _, name := range columnNames([]any{o}) {
		if isObjectList(o[name]) {
			nested = append(nested, name)
			continue
		}
		rows = append(rows, []string{name, formatCell(o[name])})
	}
	if len(rows) > 0 {
		if err := printTable(w, rows[0], rows[1:]); err != nil {
			return err
		}
	}
	for _, name := range nested {
		if _, err := fmt.Fprintf(w, "\n%s\n", name); err != nil {
			return err
		}
		if err := printValue(w, o[name]); err != nil {
			return err
		}
	}
	return nil
}

// isObjectList reports whether value is a list whose first element is an
// object.
func isObjectList(value any) bool {
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		return false
	}
	_, ok = list[0].(map[string]any)
	return ok
}

func printList(w io.Writer, list []any) error {
	names := columnNames(list)
	header := make([]string, len(names))
	for i, name := range names {
		header[i] = strings.ToUpper(name)
	}
	rows := make([][]string, 0, len(list))
	for _, element := range list {
		o, ok := element.(map[string]any)
		if !ok {
			rows = append(rows, []string{formatCell(element)})
			continue
		}
		row := make([]string, len(names))
		for i, name := range names {
			row[i] = formatCell(o[name])
		}
		rows = append(rows, row)
	}
	return printTable(w, header, rows)
}

// leadingColumns are the members that identify an object. They are the first
// columns of a table, in this order.
var leadingColumns = []string{"from", "id", "vm", "customer", "budget", "upstream", "service"}

// columnNames returns the names of the members of all objects in list: those in
// leadingColumns first, the others by name.
func columnNames(list []any) []string {
	found := make(map[string]bool)
	for _, element := range list {
		o, _ := element.(map[string]any)
		for name := range o {
			found[name] = true
		}
	}
	names := slices.Collect(maps.Keys(found))
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(columnRank(x), columnRank(y)), cmp.Compare(x, y))
	})
	return names
}

// columnRank returns the index of name in leadingColumns, or their number.
func columnRank(name string) int {
	if i := slices.Index(leadingColumns, name); i >= 0 {
		return i
	}
	return len(leadingColumns)
}

// formatCell formats a value on one line without control characters, which could
// otherwise change the state of the operator's terminal.
func formatCell(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case string:
		return strings.Map(replaceControl, v)
	case json.Number, bool:
		return fmt.Sprint(v)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	return string(data)
}

// replaceControl maps control characters to spaces.
func replaceControl(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}
