package document

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Ask fills target, a pointer to a struct, from answers typed by an operator.
// It asks for every field by its path, except for those tagged ask:"-", and
// asks again after a wrong answer. An empty line takes the value shown in
// brackets. Ask returns io.ErrUnexpectedEOF when the input ends early.
func Ask(r io.Reader, w io.Writer, target any) (err error) {
	a := asker{lines: bufio.NewScanner(r), w: w}
	return a.askStruct(reflect.ValueOf(target).Elem(), "")
}

type asker struct {
	lines *bufio.Scanner
	w     io.Writer
}

func (a *asker) askStruct(v reflect.Value, path string) error {
	for _, f := range fieldsOf(v.Type()).ordered {
		if v.Type().Field(f.index).Tag.Get("ask") == "-" {
			continue
		}
		if err := a.askField(v.Field(f.index), f, join(path, f.name)); err != nil {
			return err
		}
	}
	return nil
}

func (a *asker) askField(v reflect.Value, f fieldTag, path string) error {
	switch {
	case isText(v.Type()):
	case v.Kind() == reflect.Struct:
		return a.askStruct(v, path)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct && !isText(v.Type().Elem()):
		return a.askList(v, path)
	}
	return a.askValue(v, f, path)
}

// askList asks for further entries of a list of objects.
func (a *asker) askList(v reflect.Value, path string) error {
	for {
		more, err := a.line("%s has %d entries; add one? (yes, no) [no]: ", path, v.Len())
		if err != nil {
			return err
		}
		if !strings.HasPrefix(strings.ToLower(more), "y") {
			return nil
		}
		element := reflect.New(v.Type().Elem()).Elem()
		if err := a.askStruct(element, fmt.Sprintf("%s[%d]", path, v.Len())); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
}

// askValue asks for one value until it is right.
func (a *asker) askValue(v reflect.Value, f fieldTag, path string) error {
	for {
		text, err := a.line("%s%s: ", path, f.hint(v))
		if err != nil {
			return err
		}
		d := decoder{reported: make(map[string]bool)}
		switch {
		case text != "":
			d.fill(v, nodeOf(text, v), path)
		case v.IsZero() && f.hasDefault:
			d.fill(v, f.defaultNode(v.Kind()), path)
		case v.IsZero() && !f.optional:
			d.report(path, "is missing")
		}
		if len(d.problems) == 0 {
			d.checkField(v, f, path)
		}
		if len(d.problems) == 0 {
			return nil
		}
		if _, err := fmt.Fprintln(a.w, d.problems.Error()); err != nil {
			return err
		}
		v.SetZero()
	}
}

func (a *asker) line(format string, args ...any) (string, error) {
	if _, err := fmt.Fprintf(a.w, format, args...); err != nil {
		return "", err
	}
	if !a.lines.Scan() {
		if err := a.lines.Err(); err != nil {
			return "", err
		}
		return "", io.ErrUnexpectedEOF
	}
	return strings.TrimSpace(a.lines.Text()), nil
}

// hint returns the bounds, the unit and the value that an empty line takes.
func (f fieldTag) hint(v reflect.Value) string {
	var b strings.Builder
	if v.Kind() == reflect.Slice {
		b.WriteString(", separated by commas")
	}
	if bounds := f.bounds(); bounds != "" {
		fmt.Fprintf(&b, " (%s)", strings.TrimSpace(bounds+" "+f.unit))
	}
	switch {
	case !v.IsZero():
		fmt.Fprintf(&b, " [%v]", v.Interface())
	case f.hasDefault:
		fmt.Fprintf(&b, " [%s]", f.absent)
	}
	return b.String()
}

// nodeOf returns the JSON value that a typed text stands for.
func nodeOf(text string, v reflect.Value) node {
	switch {
	case isText(v.Type()):
	case v.Kind() == reflect.Slice:
		n := node{kind: kindArray}
		for _, part := range strings.Split(text, ",") {
			n.elements = append(n.elements, node{kind: kindString, text: strings.TrimSpace(part)})
		}
		return n
	case v.Kind() == reflect.Bool:
		return node{kind: kindBool, text: fmt.Sprint(text == "true" || strings.HasPrefix(strings.ToLower(text), "y"))}
	case v.Kind() != reflect.String:
		return node{kind: kindNumber, text: text}
	}
	return node{kind: kindString, text: text}
}
