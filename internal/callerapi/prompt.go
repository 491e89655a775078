package callerapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/jsonvalue"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// messageOverhead bounds the tokens that the role and the delimiters of a
	// message add.
	messageOverhead tokens.Count = 16
	// bytesPerToken is the mean length of a token in prompts.
	bytesPerToken = 4
	// defaultOutput is the output limit of a request that does not set one.
	defaultOutput tokens.Count = 1024
	maxMessages   int          = 4096
)

// prompt holds the fields of a chat request that the router evaluates. The fields that it does not read
// stay in the body, as there may be very many.
type prompt struct {
	model        ident.Model
	stream       bool
	includeUsage bool                       // the caller requested usage data in the stream
	outputLimit  tokens.Count               // 0 if the request sets none
	text         string                     // the texts of all messages, joined
	promptBound  tokens.Count               // upper bound of the prompt's tokens
	messages     []string                   // the texts of the messages
	rewritten    map[int]bool               // the messages whose content is sent as the text that was read
	body         jsonvalue.Value            // of the request
	fields       map[string]jsonvalue.Value // those of fieldsRead that the body has
}

// fieldsRead lists the fields that the router evaluates, in the order in which it sends them to the
// engine. If a field is repeated, the last one counts.
var fieldsRead = []string{
	"model", "messages", "stream", "stream_options", "n", "max_tokens", "max_completion_tokens",
	"tools", "functions", "response_format",
}

// message is one message of a chat request.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parsePrompt parses and validates the body of a chat request. The refusal names the
// invalid field.
func parsePrompt(body []byte) (p prompt, refused *refusal.Refusal) {
	var object struct{} // the body must be one; its fields are ignored
	if err := json.Unmarshal(body, &object); err != nil {
		return p, refusal.New(refusal.BadRequest, "%s", decodeErrorMessage("body", err))
	}
	p.findFields(body)
	var o options
	if refused := p.decodeOptions(&o); refused != nil {
		return p, refused
	}
	if o.choices != nil && *o.choices != 1 {
		return p, refusal.New(refusal.BadRequest, "n: only 1 is supported")
	}
	if refused := p.setOutputLimit("max_tokens", o.maxTokens); refused != nil {
		return p, refused
	}
	if refused := p.setOutputLimit("max_completion_tokens", o.maxCompletionTokens); refused != nil {
		return p, refused
	}
	p.includeUsage = o.streamOptions.IncludeUsage
	return p, p.readMessages()
}

// findFields finds the fields of a valid body that the router evaluates.
func (p *prompt) findFields(body []byte) {
	p.body = jsonvalue.Of(body)
	p.fields = make(map[string]jsonvalue.Value)
	for f := range p.body.Fields() {
		if isRead(f.Name) {
			p.fields[string(f.Name)] = f.Value
		}
	}
}

// isRead reports whether the router evaluates the field with the given name.
func isRead(name []byte) bool {
	return slices.ContainsFunc(fieldsRead, func(read string) bool { return read == string(name) })
}

// options holds the fields of a chat request that need further validation.
type options struct {
	maxTokens, maxCompletionTokens *int64
	choices                        *int64
	streamOptions                  struct {
		IncludeUsage bool `json:"include_usage"`
	}
}

// decodeOptions decodes the fields that the router evaluates.
func (p *prompt) decodeOptions(o *options) *refusal.Refusal {
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &p.model},
		{"stream", &p.stream},
		{"n", &o.choices},
		{"max_tokens", &o.maxTokens},
		{"max_completion_tokens", &o.maxCompletionTokens},
		{"stream_options", &o.streamOptions},
	} {
		if refused := p.decodeField(f.name, f.into); refused != nil {
			return refused
		}
	}
	return nil
}

func (p *prompt) decodeField(name string, into any) *refusal.Refusal {
	raw, ok := p.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return refusal.New(refusal.BadRequest, "%s", decodeErrorMessage(name, err))
	}
	return nil
}

// setOutputLimit sets the output limit to the value of the named field, unless the
// request does not have the field.
func (p *prompt) setOutputLimit(name string, limit *int64) *refusal.Refusal {
	if limit == nil {
		return nil
	}
	if *limit < 1 || *limit > 1<<24 {
		return refusal.New(refusal.BadRequest, "%s: 1 to %d is required", name, 1<<24)
	}
	p.outputLimit = tokens.Count(*limit)
	return nil
}

// readMessages validates the model and the messages, and sets the fields of p that
// depend on them. A token has at least one byte, so the size of the fields that make up
// the prompt bounds its tokens.
func (p *prompt) readMessages() *refusal.Refusal {
	if p.model == "" {
		return refusal.New(refusal.BadRequest, "model: required")
	}
	list := p.fields["messages"]
	if refused := requireList("messages", list); refused != nil {
		return refused
	}
	count := 0
	for range list.Elements() {
		count++
	}
	if count == 0 || count > maxMessages {
		return refusal.New(refusal.BadRequest, "messages: 1 to %d are required", maxMessages)
	}
	p.rewritten = make(map[int]bool)
	for m := range list.Elements() {
		if refused := p.readMessage(m); refused != nil {
			return refused
		}
	}
	p.text = strings.Join(p.messages, "")
	p.promptBound = textBound(list) + messageOverhead*tokens.Count(count)
	for _, name := range []string{"tools", "functions", "response_format"} {
		p.promptBound += textBound(p.fields[name])
	}
	return nil
}

// textBound returns an upper bound of the tokens of the texts in a value. An engine may take each byte
// that is not valid UTF-8 for U+FFFD, like package json, which has three bytes.
func textBound(value jsonvalue.Value) (bound tokens.Count) {
	for rest := value; len(rest) > 0; {
		r, size := utf8.DecodeRune(rest)
		if r == utf8.RuneError {
			bound += tokens.Count(utf8.RuneLen(r))
		} else {
			bound += tokens.Count(size)
		}
		rest = rest[size:]
	}
	return bound
}

// readMessage adds the next message.
func (p *prompt) readMessage(value jsonvalue.Value) *refusal.Refusal {
	i := len(p.messages)
	var m message
	if err := json.Unmarshal(value, &m); err != nil {
		return refusal.New(refusal.BadRequest, "%s", decodeErrorMessage("messages", err))
	}
	if m.Role == "" {
		return refusal.New(refusal.BadRequest, "messages[%d].role: required", i)
	}
	content, isList, refused := contentText(fmt.Sprintf("messages[%d].content", i), m.Content)
	if refused != nil {
		return refused
	}
	if isList || repeatsContent(value) {
		p.rewritten[i] = true
	}
	p.messages = append(p.messages, content)
	return nil
}

// repeatsContent reports whether a message has several fields of which an engine may take another one
// for its content than package json, which does not distinguish upper and lower case.
func repeatsContent(message jsonvalue.Value) bool {
	count := 0
	for f := range message.Fields() {
		if isContent(f.Name) {
			count++
		}
	}
	return count > 1
}

func isContent(name []byte) bool { return bytes.EqualFold(name, []byte("content")) }

// requireList returns the refusal of a field that is neither a list nor null.
func requireList(name string, value jsonvalue.Value) *refusal.Refusal {
	if value == nil || value.IsList() {
		return nil
	}
	var list []json.RawMessage
	if err := json.Unmarshal(value, &list); err != nil {
		return refusal.New(refusal.BadRequest, "%s", decodeErrorMessage(name, err))
	}
	return nil
}

// contentText returns the text of a message's content, and whether the content is a
// list of text parts rather than a string. name is the name of the field.
func contentText(name string, raw json.RawMessage) (text string, isList bool, refused *refusal.Refusal) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", false, nil
	}
	switch raw[0] {
	case '"':
		if err := json.Unmarshal(raw, &text); err != nil {
			return "", false, refusal.New(refusal.BadRequest, "%s", decodeErrorMessage(name, err))
		}
		return text, false, nil
	case '[':
		text, refused = partsText(name, jsonvalue.Value(raw))
		return text, true, refused
	}
	return "", false, refusal.New(refusal.BadRequest, "%s: a string or a list of text parts is required", name)
}

// textPart is an element of a message's content.
type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// partsText returns the joined text of a list of text parts. As there may be very many, they are not
// decoded into a list.
func partsText(name string, list jsonvalue.Value) (text string, refused *refusal.Refusal) {
	var joined strings.Builder
	joined.Grow(len(list))
	var decoded []byte
	i := 0
	for value := range list.Elements() {
		kind, partText, ok := partFields(value)
		if !ok {
			if err := json.Unmarshal(value, new(textPart)); err != nil {
				return "", refusal.New(refusal.BadRequest, "%s", decodeErrorMessage(name, err))
			}
		}
		if decoded = kind.AppendText(decoded[:0]); string(decoded) != "text" {
			return "", refusal.New(refusal.BadRequest, "%s[%d].type: only text is supported", name, i)
		}
		decoded = partText.AppendText(decoded[:0])
		joined.Write(decoded)
		i++
	}
	return joined.String(), nil
}

// partFields returns the fields of a text part, and whether the part has the type of one. Like package
// json, it does not distinguish upper and lower case and ignores null.
func partFields(part jsonvalue.Value) (kind, text jsonvalue.Value, ok bool) {
	if !part.IsObject() {
		return nil, nil, false
	}
	for f := range part.Fields() {
		into := &kind
		switch {
		case bytes.EqualFold(f.Name, []byte("type")):
		case bytes.EqualFold(f.Name, []byte("text")):
			into = &text
		default:
			continue
		}
		if f.Value.IsString() {
			*into = f.Value
		} else if string(f.Value) != "null" {
			return nil, nil, false
		}
	}
	return kind, text, true
}

// newChat returns the request for the dispatcher, with the output limit set in its
// body.
func (p *prompt) newChat(c caller, model *configuration.Model) (*dispatch.Chat, *refusal.Refusal) {
	limit := c.application.MaxOutput
	if p.outputLimit == 0 {
		p.outputLimit = min(defaultOutput, limit)
	}
	if p.outputLimit > limit {
		return nil, refusal.New(refusal.BadRequest, "max_tokens: the application may ask for %d at most", limit)
	}
	if model.ContextWindow > 0 && p.outputLimit >= model.ContextWindow {
		return nil, refusal.New(refusal.BadRequest, "max_tokens: the context window of %s is %d", p.model, model.ContextWindow)
	}
	return &dispatch.Chat{
		Model:           p.model,
		Body:            p.engineBody(),
		PromptText:      p.text,
		Messages:        p.messages,
		PromptTokens:    tokens.Count(len(p.text)/bytesPerToken) + 1,
		MaxOutputTokens: p.outputLimit,
		Priority:        c.application.Priority,
	}, nil
}
