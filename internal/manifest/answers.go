package manifest

import (
	"cmp"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/answers"
)

// SplitAnswers splits a into parts. Its revision is not stored. A customer's
// budgets and applications may be distributed over several buckets.
func SplitAnswers(a answers.Answers, l Layout) (s Split, err error) {
	defer func() { err = merry.Prepend(err, "splitting answers") }()
	a = answers.Canonical(a)
	buckets := make([]answersBucket, l)
	for _, c := range a.Customers {
		l.distributeAnswers(buckets, c)
	}
	base := answers.Answers{Policy: a.Policy, Services: a.Services, Rules: a.Rules}
	return split(base, buckets)
}

// answersBucket is a part with some customers of the answers.
type answersBucket struct {
	Customers []answers.Customer `json:"customers,omitempty"`
}

// distributeAnswers adds a customer to the buckets of its rows. Only its home
// bucket holds its name and weight.
func (l Layout) distributeAnswers(buckets []answersBucket, c answers.Customer) {
	n := groupCount(max(len(c.Budgets), len(c.Applications)))
	home := l.homeBucket(string(c.ID))
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

// AssembleAnswers assembles answers from the parts in l.
func AssembleAnswers(l PartList, p Parts) (a answers.Answers, err error) {
	defer func() { err = merry.Prepend(err, "assembling answers") }()
	if err = p.read(l.Base, &a); err != nil {
		return answers.Answers{}, err
	}
	var pieces []answers.Customer
	for _, digest := range l.Buckets {
		var b answersBucket
		if err = p.read(digest, &b); err != nil {
			return answers.Answers{}, err
		}
		pieces = append(pieces, b.Customers...)
	}
	a.Customers = joinAnswersCustomers(pieces)
	return answers.Canonical(a), nil
}

// joinAnswersCustomers merges the pieces of each customer.
func joinAnswersCustomers(pieces []answers.Customer) (joined []answers.Customer) {
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
