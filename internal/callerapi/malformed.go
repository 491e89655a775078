package callerapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// decodeErrorMessage converts an error of package json into a message for callers.
// name is the name of the decoded field, since the error holds only the path below
// it.
func decodeErrorMessage(name string, err error) string {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return name + ": not valid JSON"
	}
	if wrong.Field != "" {
		name += "." + wrong.Field
	}
	return fmt.Sprintf("%s: %s is not accepted", name, withArticle(wrong.Value))
}

// withArticle returns a kind of JSON value with its indefinite article. Numbers that
// do not fit the field's type are described with their digits and get no article.
func withArticle(value string) string {
	switch {
	case strings.Contains(value, " "):
		return value
	case value == "array" || value == "object":
		return "an " + value
	}
	return "a " + value
}
