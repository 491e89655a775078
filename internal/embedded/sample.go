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

// sampleTokens is the max_tokens value of the sample's completions.
const sampleTokens = 24

// APIKeys holds the plaintext API key of each application.
type APIKeys map[ident.Application]string

// PlaintextKeys returns the plaintext API keys in an answers document.
func PlaintextKeys(document []byte) (keys APIKeys, err error) {
	defer func() { err = merry.Prepend(err, "reading the API keys") }()
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
	keys = make(APIKeys)
	for _, c := range d.Customers {
		for _, a := range c.Applications {
			keys[a.ID] = a.Key
		}
	}
	return keys, nil
}

// Sample sends a mixed set of requests to a deployment and checks the
// responses.
type Sample struct {
	Deployment *Deployment
	Keys       APIKeys
	// Steps holds the result of each request sent so far.
	Steps []Step

	answered []audit.Answered
	refused  []audit.Refused
}

// Step is the result of one request or check of the sample.
type Step struct {
	Name   string
	Status int
	Billed string
	Err    error // why the check of the response failed; nil if it passed
}

// target is an application with its budget and the model and plain service
// that it is allowed to use.
type target struct {
	application  answers.Application
	budget       answers.Budget
	model        ident.Model
	plainService *answers.Service
}

// Run sends the requests, checks the responses and returns the audit of the
// ledger.
func (s *Sample) Run(ctx context.Context) (report audit.Report, err error) {
	defer func() { err = merry.Prepend(err, "running the sample") }()
	largest, smallest, err := s.selectTargets()
	if err != nil {
		return report, err
	}
	s.sendCompletions(ctx, largest)
	s.sendNonIdempotentCalls(ctx, largest)
	s.sendOverBudget(ctx, smallest)
	pages, err := audit.Read(ctx, s.Deployment.KeyValue.Client(), s.Deployment.Answers.Policy.LedgerPages)
	if err != nil {
		return report, err
	}
	return audit.Check(pages, s.answered, s.refused), s.failedSteps()
}

func (s *Sample) failedSteps() error {
	var errs []error
	for _, step := range s.Steps {
		if step.Err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", step.Name, step.Err))
		}
	}
	return errors.Join(errs...)
}

// selectTargets returns the applications with the largest and the smallest
// prepaid budget among those that are allowed to use a model.
func (s *Sample) selectTargets() (largest, smallest target, err error) {
	for _, c := range s.Deployment.Answers.Customers {
		for _, a := range c.Applications {
			t, ok := s.newTarget(c, a)
			if !ok {
				continue
			}
			if largest.model == "" || t.budget.Prepaid > largest.budget.Prepaid {
				largest = t
			}
			if smallest.model == "" || t.budget.Prepaid < smallest.budget.Prepaid {
				smallest = t
			}
		}
	}
	if largest.model == "" {
		return largest, smallest, errors.New("no application with a known API key is allowed to use a model")
	}
	return largest, smallest, nil
}

// newTarget returns the target of application a. It reports false if the
// application's API key is unknown or it is not allowed to use a model.
func (s *Sample) newTarget(c answers.Customer, a answers.Application) (t target, ok bool) {
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
			t.plainService = service
		} else if len(service.Models) > 0 {
			t.model = service.Models[0].ID
		}
	}
	return t, t.model != ""
}

// sendCompletions requests an unstreamed and a streamed completion, and sends one
// request twice with the same idempotency key.
func (s *Sample) sendCompletions(ctx context.Context, t target) {
	prompt := func(name string) string { return "Sample: " + name }
	s.sendCompletion(ctx, "whole completion", t, prompt("whole"), false, "")
	s.sendCompletion(ctx, "streamed completion", t, prompt("streamed"), true, "")
	s.sendCompletion(ctx, "completion with a key", t, prompt("keyed"), false, "sample-key")
	s.sendCompletion(ctx, "the same key again", t, prompt("keyed"), false, "sample-key")
}

func (s *Sample) sendCompletion(ctx context.Context, name string, t target, prompt string, stream bool, key string) {
	body, err := json.Marshal(map[string]any{
		"model":      t.model,
		"max_tokens": sampleTokens,
		"stream":     stream,
		"messages":   []wire.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		s.addStep(Step{Name: name, Err: err})
		return
	}
	step, answer := s.send(ctx, name, t, http.MethodPost, "/v1/chat/completions", body, key)
	if step.Err == nil {
		text, err := completionText(answer, stream)
		if err == nil && text != engine.ExpectedAnswer(prompt, sampleTokens) {
			err = fmt.Errorf("unexpected completion text %q", text)
		}
		step.Err = err
	}
	s.addStep(step)
}

// completionText returns the text of a streamed or unstreamed completion.
func completionText(body []byte, stream bool) (string, error) {
	if stream {
		return streamText(body)
	}
	var c wire.Completion
	if err := json.Unmarshal(body, &c); err != nil {
		return "", err
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("completion has %d choices instead of 1", len(c.Choices))
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
	return "", errors.New("stream ended without the [DONE] event")
}

// sendNonIdempotentCalls sends a non-idempotent call to a plain service twice with
// the same idempotency key and checks that it is executed once.
func (s *Sample) sendNonIdempotentCalls(ctx context.Context, t target) {
	if t.plainService == nil {
		return
	}
	path := "/services/" + string(t.plainService.ID) + nonIdempotentPath(t.plainService)
	body := []byte(`{"sample":true}`)
	before := s.totalExecutions()
	for _, name := range []string{"non-idempotent call", "the same call again"} {
		step, _ := s.send(ctx, name, t, http.MethodPost, path, body, "sample-call")
		s.addStep(step)
	}
	if n := s.totalExecutions() - before; n != 1 {
		s.addStep(Step{Name: "executions of the call", Err: fmt.Errorf("executed %d times instead of once", n)})
	}
}

func (s *Sample) totalExecutions() (n int) {
	for _, p := range s.Deployment.PlainServices {
		n += p.TotalExecutions()
	}
	return n
}

// nonIdempotentPath returns the path prefix of the first POST call that the
// service does not declare idempotent, or / if there is none.
func nonIdempotentPath(service *answers.Service) string {
	for _, c := range service.Calls {
		if !c.Idempotent && c.Method == http.MethodPost {
			return c.PathPrefix
		}
	}
	return "/"
}

// sendOverBudget sends a request whose cost exceeds the budget and checks that it
// is refused.
func (s *Sample) sendOverBudget(ctx context.Context, t target) {
	body, err := json.Marshal(map[string]any{
		"model":      t.model,
		"max_tokens": sampleTokens,
		"messages":   []wire.Message{{Role: "user", Content: strings.Repeat("a", int(t.budget.Prepaid)+1)}},
	})
	if err != nil {
		s.addStep(Step{Name: "over budget", Err: err})
		return
	}
	step, answer := s.send(ctx, "over budget", t, http.MethodPost, "/v1/chat/completions", body, "")
	step.Err = nil
	if !bytes.Contains(answer, []byte(refusal.BudgetExhausted)) || step.Status != http.StatusPaymentRequired {
		step.Err = fmt.Errorf("request over budget was not refused: %.200s", answer)
	}
	bound := tokens.Count(len(body))
	s.refused = append(s.refused, audit.Refused{Budget: t.budget.ID, MaxCost: bound})
	s.addStep(step)
}

func (s *Sample) addStep(step Step) {
	s.Steps = append(s.Steps, step)
}

// send sends a request over HTTP and records it in s.answered if a successful
// response was received completely.
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
		request.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		step.Err = err
		return step, nil
	}
	defer func() { _ = response.Body.Close() }() // the body has been read to its end
	answer, err := io.ReadAll(response.Body)
	step.Status, step.Err = response.StatusCode, err
	step.Billed = response.Header.Get(callerapi.HeaderBilledTokens)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		step.Err = fmt.Errorf("status %d: %.200s", response.StatusCode, answer)
	}
	if step.Err == nil {
		id := ident.Request(response.Header.Get(callerapi.HeaderRequestID))
		s.answered = append(s.answered, audit.Answered{Budget: t.budget.ID, Request: id})
	}
	return step, answer
}

// CurlCommands returns curl commands that send example requests to the deployment.
func (s *Sample) CurlCommands() []string {
	t, _, err := s.selectTargets()
	if err != nil {
		return nil
	}
	command := fmt.Sprintf("curl -sN -H 'Authorization: Bearer %s' ", s.Keys[t.application.ID])
	url := s.Deployment.URL(0)
	completion := func(extra string) string {
		return fmt.Sprintf(`%s%s/v1/chat/completions -d '{"model":"%s","max_tokens":24,%s"messages":[{"role":"user","content":"Hello"}]}'`,
			command, url, t.model, extra)
	}
	calls := []string{
		command + url + "/v1/models",
		completion(""),
		completion(`"stream":true,`),
	}
	if t.plainService != nil {
		calls = append(calls, fmt.Sprintf(`%s-H 'Idempotency-Key: order-1' %s/services/%s%s -d '{"order":1}'`,
			command, url, t.plainService.ID, nonIdempotentPath(t.plainService)))
	}
	return calls
}

// LastRequest returns the identifier of the last request that was answered
// successfully, or an empty string.
func (s *Sample) LastRequest() string {
	if len(s.answered) == 0 {
		return ""
	}
	return string(s.answered[len(s.answered)-1].Request)
}
