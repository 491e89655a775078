package manifest

import (
	"cmp"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/answers"
)

// SplitAnswers returns the parts of a. Its revision is not stored. Each bucket
// is answers with some customers only, whose rows may be spread over buckets.
func SplitAnswers(a answers.Answers, l Layout) (s Split, err error) {
	defer func() { err = merry.Prepend(err, "splitting answers") }()
	a = answers.Canonical(a)
	buckets := make([]answerBucket, l)
	for _, c := range a.Customers {
		l.spreadAnswers(buckets, c)
	}
	base := answers.Answers{Policy: a.Policy, Services: a.Services, Rules: a.Rules}
	return split(base, buckets)
}

type answerBucket struct {
	Customers []answers.Customer `json:"customers,omitempty"`
}

func (l Layout) spreadAnswers(buckets []answerBucket, c answers.Customer) {
	n := groups(max(len(c.Budgets), len(c.Applications)))
	home := l.home(string(c.ID))
	pieces := map[int]*answers.Customer{home: {ID: c.ID, Name: c.Name, Weight: c.Weight}}
	piece := func(row string) *answers.Customer {
		i := l.bucketOf(string(c.ID), row, n)
		if pieces[i] == nil {
			pieces[i] = &answers.Customer{ID: c.ID}
		}
		return pieces[i]
	}
	for _, b := range c.Budgets {
		p := piece(string(b.ID))
		p.Budgets = append(p.Budgets, b)
	}
	for _, app := range c.Applications {
		p := piece(string(app.ID))
		p.Applications = append(p.Applications, app)
	}
	for i, p := range pieces {
		buckets[i].Customers = append(buckets[i].Customers, *p)
	}
}

// AssembleAnswers returns the answers that l names.
func AssembleAnswers(l List, p Parts) (a answers.Answers, err error) {
	defer func() { err = merry.Prepend(err, "assembling answers") }()
	if err = p.read(l.Base, &a); err != nil {
		return answers.Answers{}, err
	}
	var pieces []answers.Customer
	for _, digest := range l.Buckets {
		var b answerBucket
		if err = p.read(digest, &b); err != nil {
			return answers.Answers{}, err
		}
		pieces = append(pieces, b.Customers...)
	}
	a.Customers = joinAnswers(pieces)
	return answers.Canonical(a), nil
}

func joinAnswers(pieces []answers.Customer) (joined []answers.Customer) {
	slices.SortFunc(pieces, func(x, y answers.Customer) int { return cmp.Compare(x.ID, y.ID) })
	for _, piece := range pieces {
		if len(joined) == 0 || joined[len(joined)-1].ID != piece.ID {
			joined = append(joined, piece)
			continue
		}
		last := &joined[len(joined)-1]
		last.Name = cmp.Or(last.Name, piece.Name)
		last.Weight = cmp.Or(last.Weight, piece.Weight)
		last.Budgets = append(last.Budgets, piece.Budgets...)
		last.Applications = append(last.Applications, piece.Applications...)
	}
	return joined
}
