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

// padding is the space between columns.
const padding = 2

func printJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func printTable(w io.Writer, header []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

// decodeAny reads JSON with numbers as they are written.
func decodeAny(data []byte) (value any, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	err = d.Decode(&value)
	return value, err
}

// printValue prints any JSON value: a list of objects as a table with one
// column for each member, an object as lines with its members, in which lists
// of objects come last.
func printValue(w io.Writer, value any) error {
	switch v := value.(type) {
	case []any:
		return printList(w, v)
	case map[string]any:
		return printObject(w, v)
	}
	_, err := fmt.Fprintln(w, cell(value))
	return err
}

func printObject(w io.Writer, o map[string]any) error {
	var rows [][]string
	var nested []string
	for _, name := range columns([]any{o}) {
		if isObjects(o[name]) {
			nested = append(nested, name)
			continue
		}
		rows = append(rows, []string{name, cell(o[name])})
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

func isObjects(value any) bool {
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		return false
	}
	_, ok = list[0].(map[string]any)
	return ok
}

func printList(w io.Writer, list []any) error {
	names := columns(list)
	header := make([]string, len(names))
	for i, name := range names {
		header[i] = strings.ToUpper(name)
	}
	rows := make([][]string, 0, len(list))
	for _, element := range list {
		o, ok := element.(map[string]any)
		if !ok {
			rows = append(rows, []string{cell(element)})
			continue
		}
		row := make([]string, len(names))
		for i, name := range names {
			row[i] = cell(o[name])
		}
		rows = append(rows, row)
	}
	return printTable(w, header, rows)
}

// firstColumns are the members that identify an object.
var firstColumns = []string{"from", "id", "vm", "customer", "budget", "upstream", "service"}

func columns(list []any) []string {
	found := make(map[string]bool)
	for _, element := range list {
		o, _ := element.(map[string]any)
		for name := range o {
			found[name] = true
		}
	}
	names := slices.Collect(maps.Keys(found))
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(place(x), place(y)), cmp.Compare(x, y))
	})
	return names
}

func place(name string) int {
	if i := slices.Index(firstColumns, name); i >= 0 {
		return i
	}
	return len(firstColumns)
}

// cell returns a value in one line without control characters.
func cell(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case string:
		return strings.Map(printable, v)
	case json.Number, bool:
		return fmt.Sprint(v)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	return string(data)
}

func printable(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}
