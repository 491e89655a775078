package embedded

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/audit"
	"example.org/lagoonfork/internal/callerapi"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// sampleTokens is the output limit of the sample's requests.
const sampleTokens = 24

// Keys are the plain keys of applications.
type Keys map[ident.Application]string

// PlainKeys returns the plain keys that a document of answers holds.
func PlainKeys(document []byte) (keys Keys, err error) {
	defer func() { err = merry.Prepend(err, "reading the sample's keys") }()
	var d struct {
		Customers []struct {
			Applications []struct {
				ID  ident.Application `json:"id"`
				Key string            `json:"key"`
			} `json:"applications"`
		} `json:"customers"`
	}
	if err = json.Unmarshal(document, &d); err != nil {
		return nil, err
	}
	keys = make(Keys)
	for _, c := range d.Customers {
		for _, a := range c.Applications {
			keys[a.ID] = a.Key
		}
	}
	return keys, nil
}

// Sample sends a mixed set of requests to a deployment and checks the answers.
type Sample struct {
	Deployment *Deployment
	Keys       Keys
	// Steps are the requests sent so far.
	Steps []Step

	answered []audit.Answered
	refused  []audit.Refused
}

// Step is one request of the sample.
type Step struct {
	Name   string
	Status int
	Billed string
	Err    error // what was wrong with the answer
}

// target is an application with what it may call.
type target struct {
	application answers.Application
	budget      answers.Budget
	model       ident.Model
	plain       *answers.Service
}

// Run sends the sample and returns the audit of the ledger.
func (s *Sample) Run(ctx context.Context) (report audit.Report, err error) {
	defer func() { err = merry.Prepend(err, "running the sample") }()
	rich, poor, err := s.targets()
	if err != nil {
		return report, err
	}
	s.chats(ctx, rich)
	s.calls(ctx, rich)
	s.exceed(ctx, poor)
	pages, err := audit.Read(ctx, s.Deployment.KeyValue.Client(), s.Deployment.Answers.Policy.LedgerPages)
	if err != nil {
		return report, err
	}
	return audit.Check(pages, s.answered, s.refused), s.errors()
}

func (s *Sample) errors() error {
	var errs []error
	for _, step := range s.Steps {
		if step.Err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", step.Name, step.Err))
		}
	}
	return errors.Join(errs...)
}

// targets chooses the applications with the largest and the smallest budget
// that may use a model.
func (s *Sample) targets() (rich, poor target, err error) {
	for _, c := range s.Deployment.Answers.Customers {
		for _, a := range c.Applications {
			t, ok := s.target(c, a)
			if !ok {
				continue
			}
			if rich.model == "" || t.budget.Prepaid > rich.budget.Prepaid {
				rich = t
			}
			if poor.model == "" || t.budget.Prepaid < poor.budget.Prepaid {
				poor = t
			}
		}
	}
	if rich.model == "" {
		return rich, poor, errors.New("no application with a plain key may use a model")
	}
	return rich, poor, nil
}

func (s *Sample) target(c answers.Customer, a answers.Application) (t target, ok bool) {
	if s.Keys[a.ID] == "" {
		return t, false
	}
	t.application = a
	for _, b := range c.Budgets {
		if b.ID == a.Budget {
			t.budget = b
		}
	}
	for i := range s.Deployment.Answers.Services {
		service := &s.Deployment.Answers.Services[i]
		if !s.Deployment.Allowed(c.ID, a.ID, service.ID) {
			continue
		}
		if service.Kind == configuration.KindPlain {
			t.plain = service
		} else if len(service.Models) > 0 {
			t.model = service.Models[0].ID
		}
	}
	return t, t.model != ""
}

// chats sends a whole and a streamed completion, and one key twice.
func (s *Sample) chats(ctx context.Context, t target) {
	prompt := func(name string) string { return "Sample: " + name }
	s.chat(ctx, "whole completion", t, prompt("whole"), false, "")
	s.chat(ctx, "streamed completion", t, prompt("streamed"), true, "")
	s.chat(ctx, "completion with a key", t, prompt("keyed"), false, "sample-key")
	s.chat(ctx, "the same key again", t, prompt("keyed"), false, "sample-key")
}

func (s *Sample) chat(ctx context.Context, name string, t target, prompt string, stream bool, key string) {
	body, err := json.Marshal(map[string]any{
		"model":      t.model,
		"max_tokens": sampleTokens,
		"stream":     stream,
		"messages":   []wire.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		s.add(Step{Name: name, Err: err})
		return
	}
	step, answer := s.send(ctx, name, t, http.MethodPost, "/v1/chat/completions", body, key)
	if step.Err == nil {
		text, err := answerText(answer, stream)
		if err == nil && text != engine.ExpectedAnswer(prompt, sampleTokens) {
			err = fmt.Errorf("got the answer %q", text)
		}
		step.Err = err
	}
	s.add(step)
}

// answerText returns the text of a completion, whole or streamed.
func answerText(body []byte, stream bool) (string, error) {
	if stream {
		return streamText(body)
	}
	var c wire.Completion
	if err := json.Unmarshal(body, &c); err != nil {
		return "", err
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("%d choices", len(c.Choices))
	}
	return c.Choices[0].Message.Content, nil
}

func streamText(body []byte) (string, error) {
	var text strings.Builder
	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == wire.Done {
			return text.String(), nil
		}
		var c wire.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return "", errors.New("the stream has no end")
}

// calls sends a call that is not idempotent to a plain service, twice under one
// key.
func (s *Sample) calls(ctx context.Context, t target) {
	if t.plain == nil {
		return
	}
	path := "/services/" + string(t.plain.ID) + nonIdempotent(t.plain)
	body := []byte(`{"sample":true}`)
	before := s.executions()
	for _, name := range []string{"non-idempotent call", "the same call again"} {
		step, _ := s.send(ctx, name, t, http.MethodPost, path, body, "sample-call")
		s.add(step)
	}
	if n := s.executions() - before; n != 1 {
		s.add(Step{Name: "executions of the call", Err: fmt.Errorf("%d in place of 1", n)})
	}
}

func (s *Sample) executions() (n int) {
	for _, p := range s.Deployment.Plain {
		n += p.TotalExecutions()
	}
	return n
}

// nonIdempotent returns the path of a call that is not idempotent.
func nonIdempotent(service *answers.Service) string {
	for _, c := range service.Calls {
		if !c.Idempotent && c.Method == http.MethodPost {
			return c.PathPrefix
		}
	}
	return "/"
}

// exceed sends a request that the budget cannot cover.
func (s *Sample) exceed(ctx context.Context, t target) {
	body, err := json.Marshal(map[string]any{
		"model":      t.model,
		"max_tokens": sampleTokens,
		"messages":   []wire.Message{{Role: "user", Content: strings.Repeat("a", int(t.budget.Prepaid)+1)}},
	})
	if err != nil {
		s.add(Step{Name: "over budget", Err: err})
		return
	}
	step, answer := s.send(ctx, "over budget", t, http.MethodPost, "/v1/chat/completions", body, "")
	step.Err = nil
	if !bytes.Contains(answer, []byte(refusal.BudgetExhausted)) || step.Status != http.StatusPaymentRequired {
		step.Err = fmt.Errorf("not refused: %.200s", answer)
	}
	bound := tokens.Count(len(body))
	s.refused = append(s.refused, audit.Refused{Budget: t.budget.ID, Bound: bound})
	s.add(step)
}

func (s *Sample) add(step Step) {
	s.Steps = append(s.Steps, step)
}

// send sends a request over a socket and notes the requests that were answered
// whole.
func (s *Sample) send(ctx context.Context, name string, t target, method, path string, body []byte, key string) (Step, []byte) {
	step := Step{Name: name}
	request, err := http.NewRequestWithContext(ctx, method, s.Deployment.URL(0)+path, bytes.NewReader(body))
	if err != nil {
		step.Err = err
		return step, nil
	}
	request.Header.Set("Authorization", "Bearer "+s.Keys[t.application.ID])
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(callerapi.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		step.Err = err
		return step, nil
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	answer, err := io.ReadAll(response.Body)
	step.Status, step.Err = response.StatusCode, err
	step.Billed = response.Header.Get(callerapi.HeaderCost)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		step.Err = fmt.Errorf("status %d: %.200s", response.StatusCode, answer)
	}
	if step.Err == nil {
		id := ident.Request(response.Header.Get(callerapi.HeaderRequest))
		s.answered = append(s.answered, audit.Answered{Budget: t.budget.ID, Request: id})
	}
	return step, answer
}

// Calls returns shell commands that call the deployment.
func (s *Sample) Calls() []string {
	t, _, err := s.targets()
	if err != nil {
		return nil
	}
	head := fmt.Sprintf("curl -sN -H 'Authorization: Bearer %s' ", s.Keys[t.application.ID])
	url := s.Deployment.URL(0)
	chat := func(extra string) string {
		return fmt.Sprintf(`%s%s/v1/chat/completions -d '{"model":"%s","max_tokens":24,%s"messages":[{"role":"user","content":"Hello"}]}'`,
			head, url, t.model, extra)
	}
	calls := []string{
		head + url + "/v1/models",
		chat(""),
		chat(`"stream":true,`),
	}
	if t.plain != nil {
		calls = append(calls, fmt.Sprintf(`%s-H 'Idempotency-Key: order-1' %s/services/%s%s -d '{"order":1}'`,
			head, url, t.plain.ID, nonIdempotent(t.plain)))
	}
	return calls
}

// LastRequest returns the identifier of the last request that was answered.
func (s *Sample) LastRequest() string {
	if len(s.answered) == 0 {
		return ""
	}
	return string(s.answered[len(s.answered)-1].Request)
}
