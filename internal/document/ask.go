package document

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Ask fills target, a pointer to a struct, from values typed by an operator.
// It prompts for each field by its path, except for those tagged ask:"-", and
// repeats the prompt after an invalid value. An empty line selects the value
// shown in brackets. Ask returns io.ErrUnexpectedEOF if the input ends early.
func Ask(r io.Reader, w io.Writer, target any) (err error) {
	p := prompter{lines: bufio.NewScanner(r), w: w}
	return p.askStruct(reflect.ValueOf(target).Elem(), "")
}

// prompter writes prompts to w and reads values from lines.
type prompter struct {
	lines *bufio.Scanner
	w     io.Writer
}

func (p *prompter) askStruct(v reflect.Value, path string) error {
	for _, f := range fieldSetOf(v.Type()).ordered {
		if v.Type().Field(f.index).Tag.Get("ask") == "-" {
			continue
		}
		if err := p.askField(v.Field(f.index), f, join(path, f.name)); err != nil {
			return err
		}
	}
	return nil
}

func (p *prompter) askField(v reflect.Value, f fieldSpec, path string) error {
	switch {
	case isTextType(v.Type()):
	case v.Kind() == reflect.Struct:
		return p.askStruct(v, path)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct && !isTextType(v.Type().Elem()):
		return p.askList(v, path)
	}
	return p.askValue(v, f, path)
}

// askList prompts for further elements of a list of objects until the operator
// declines.
func (p *prompter) askList(v reflect.Value, path string) error {
	for {
		reply, err := p.prompt("%s has %d entries; add one? (yes, no) [no]: ", path, v.Len())
		if err != nil {
			return err
		}
		if !strings.HasPrefix(strings.ToLower(reply), "y") {
			return nil
		}
		element := reflect.New(v.Type().Elem()).Elem()
		if err := p.askStruct(element, fmt.Sprintf("%s[%d]", path, v.Len())); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
}

// askValue prompts for one value until it is valid.
func (p *prompter) askValue(v reflect.Value, f fieldSpec, path string) error {
	for {
		text, err := p.prompt("%s%s: ", path, f.hint(v))
		if err != nil {
			return err
		}
		d := decoder{reported: make(map[string]bool)}
		switch {
		case text != "":
			d.decodeValue(v, parseInput(text, v), path)
		case v.IsZero() && f.hasDefault:
			d.decodeValue(v, f.defaultNode(v.Kind()), path)
		case v.IsZero() && !f.optional:
			d.report(path, "is missing")
		}
		if len(d.problems) == 0 {
			d.checkField(v, f, path)
		}
		if len(d.problems) == 0 {
			return nil
		}
		if _, err := fmt.Fprintln(p.w, d.problems.Error()); err != nil {
			return err
		}
		v.SetZero()
	}
}

// prompt writes a prompt and returns the next line without surrounding spaces.
func (p *prompter) prompt(format string, args ...any) (string, error) {
	if _, err := fmt.Fprintf(p.w, format, args...); err != nil {
		return "", err
	}
	if !p.lines.Scan() {
		if err := p.lines.Err(); err != nil {
			return "", err
		}
		return "", io.ErrUnexpectedEOF
	}
	return strings.TrimSpace(p.lines.Text()), nil
}

// hint returns the bounds and unit of a field and the value that an empty line
// selects.
func (f fieldSpec) hint(v reflect.Value) string {
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
		fmt.Fprintf(&b, " [%s]", f.defaultValue)
	}
	return b.String()
}

// parseInput converts a typed text to a JSON value of the kind that v needs.
func parseInput(text string, v reflect.Value) node {
	switch {
	case isTextType(v.Type()):
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
