package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth is the maximum nesting depth of objects and arrays.
const maxDepth = 32

var (
	errTooDeep  = fmt.Errorf("is nested more than %d levels deep", maxDepth)
	errTrailing = errors.New("unexpected data after the document")
)

// kind is the kind of a JSON value, as named in reasons.
type kind string

const (
	kindObject kind = "an object"
	kindArray  kind = "a list"
	kindString kind = "a string"
	kindNumber kind = "a number"
	kindBool   kind = "true or false"
	kindNull   kind = "null"
)

// node is a JSON value. Unlike a map, it keeps duplicate members, so that they
// can be reported.
type node struct {
	kind     kind
	text     string // of a string, number or bool
	elements []node
	members  []member
}

// member is a name and value in a JSON object.
type member struct {
	name  string
	value node
}

// parse parses a JSON document that consists of one value.
func parse(data []byte) (n node, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	defer func() {
		switch {
		case err == nil:
		case errors.Is(err, errTooDeep), errors.Is(err, errTrailing):
		default:
			err = fmt.Errorf("is not JSON: %w at byte %d", err, d.InputOffset())
		}
	}()
	n, err = parseValue(d, 0)
	if err != nil {
		return node{}, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return node{}, errTrailing
	}
	return n, nil
}

func parseValue(d *json.Decoder, depth int) (node, error) {
	token, err := d.Token()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return node{}, err
	}
	return parseToken(d, token, depth)
}

// parseToken parses the value that begins with token.
func parseToken(d *json.Decoder, token json.Token, depth int) (node, error) {
	switch t := token.(type) {
	case json.Delim:
		return parseComposite(d, t, depth+1)
	case string:
		return node{kind: kindString, text: t}, nil
	case json.Number:
		return node{kind: kindNumber, text: t.String()}, nil
	case bool:
		return node{kind: kindBool, text: fmt.Sprint(t)}, nil
	default:
		return node{kind: kindNull}, nil
	}
}

// parseComposite parses the rest of an object or array after its opening
// delimiter.
func parseComposite(d *json.Decoder, open json.Delim, depth int) (n node, err error) {
	if depth > maxDepth {
		return node{}, errTooDeep
	}
	n.kind = kindArray
	if open == '{' {
		n.kind = kindObject
	}
	for d.More() {
		if n.kind == kindObject {
			err = n.parseMember(d, depth)
		} else {
			err = n.parseElement(d, depth)
		}
		if err != nil {
			return node{}, err
		}
	}
	_, err = d.Token()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (n *node) parseMember(d *json.Decoder, depth int) error {
	name, err := parseValue(d, depth)
	if err != nil {
		return err
	}
	value, err := parseValue(d, depth)
	if err != nil {
		return err
	}
	n.members = append(n.members, member{name: name.text, value: value})
	return nil
}

func (n *node) parseElement(d *json.Decoder, depth int) error {
	value, err := parseValue(d, depth)
	if err != nil {
		return err
	}
	n.elements = append(n.elements, value)
	return nil
}
