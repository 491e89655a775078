package answers

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/document"
)

// Decode reads a document, sets defaults, replaces plain keys with their hashes
// and checks the answers. If any field is invalid, the error wraps Problems.
func Decode(data []byte) (a Answers, err error) {
	defer func() { err = merry.Prepend(err, "reading the answers") }()
	problems := document.Decode(data, &a)
	problems = a.hashKeys(problems)
	problems = a.checkReferences(problems)
	a.sort()
	return a, problems.Err()
}

// Blank returns empty answers with the default policy.
func Blank() (a Answers) {
	_ = document.Decode([]byte("{}"), &a) // cannot fail: every field of the policy has a default
	return a
}

// Ask completes the answers in start interactively: it writes the questions to w
// and reads one line for each from r. Plain keys are replaced with their hashes. The
// answers are returned even if the error wraps Problems.
func Ask(r io.Reader, w io.Writer, start Answers) (a Answers, err error) {
	defer func() { err = merry.Prepend(err, "asking for the answers") }()
	a = Canonical(start)
	if err := document.Ask(r, w, &a); err != nil {
		return Answers{}, err
	}
	a = Canonical(a)
	return a, Check(a, nil)
}

// Encode returns the document in its canonical form: sorted, indented, with
// all defaults written out and without plain keys.
func Encode(a Answers) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encoding the answers") }()
	data, err = json.MarshalIndent(Canonical(a), "", "  ")
	return append(data, '\n'), err
}

// Digest returns the SHA-256, in hexadecimal, of the answers without their
// revision.
func Digest(a Answers) (digest string, err error) {
	defer func() { err = merry.Prepend(err, "digesting the answers") }()
	a.Revision = 0
	data, err := json.Marshal(Canonical(a))
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), err
}

// HashKey returns the SHA-256 of a plain key, in hexadecimal, as it is stored.
func HashKey(key Secret) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (a *Answers) hashKeys(problems Problems) Problems {
	for i := range a.Customers {
		applications := a.Customers[i].Applications
		for j := range applications {
			path := fmt.Sprintf("customers[%d].applications[%d].key", i, j)
			problems = applications[j].hashKey(problems, path)
		}
	}
	return problems
}

func (a *Application) hashKey(problems Problems, path string) Problems {
	if a.Key == "" {
		return problems
	}
	if a.KeyHash != "" {
		problems = problems.Add(path, "is set in addition to keyHash; give only one of them")
	}
	a.KeyHash = HashKey(a.Key)
	a.Key = ""
	return problems
}

// Canonical returns a sorted deep copy of a with plain keys replaced by their
// hashes.
func Canonical(a Answers) Answers {
	a.Customers = slices.Clone(a.Customers)
	for i := range a.Customers {
		c := &a.Customers[i]
		c.Budgets = slices.Clone(c.Budgets)
		c.Applications = slices.Clone(c.Applications)
	}
	a.Services = slices.Clone(a.Services)
	for i := range a.Services {
		s := &a.Services[i]
		s.Models = slices.Clone(s.Models)
		s.Calls = slices.Clone(s.Calls)
		s.Upstreams = slices.Clone(s.Upstreams)
	}
	a.Rules = slices.Clone(a.Rules)
	for i := range a.Rules {
		r := &a.Rules[i]
		r.Customers = slices.Clone(r.Customers)
		r.Applications = slices.Clone(r.Applications)
		r.Services = slices.Clone(r.Services)
	}
	a.hashKeys(nil)
	a.sort()
	return a
}

func (a *Answers) sort() {
	slices.SortStableFunc(a.Customers, func(x, y Customer) int { return cmp.Compare(x.ID, y.ID) })
	for _, c := range a.Customers {
		slices.SortStableFunc(c.Budgets, func(x, y Budget) int { return cmp.Compare(x.ID, y.ID) })
		slices.SortStableFunc(c.Applications, func(x, y Application) int { return cmp.Compare(x.ID, y.ID) })
	}
	slices.SortStableFunc(a.Services, func(x, y Service) int { return cmp.Compare(x.ID, y.ID) })
	for _, s := range a.Services {
		slices.SortStableFunc(s.Models, func(x, y Model) int { return cmp.Compare(x.ID, y.ID) })
		slices.SortStableFunc(s.Calls, func(x, y Call) int { return cmp.Compare(x.key(), y.key()) })
		slices.SortStableFunc(s.Upstreams, func(x, y Upstream) int { return cmp.Compare(x.ID, y.ID) })
	}
	slices.SortStableFunc(a.Rules, func(x, y Rule) int { return cmp.Compare(x.ID, y.ID) })
	for _, r := range a.Rules {
		slices.Sort(r.Customers)
		slices.Sort(r.Applications)
		slices.Sort(r.Services)
	}
}

// key identifies a call within its service.
func (c Call) key() string {
	return c.Method + " " + c.PathPrefix
}
