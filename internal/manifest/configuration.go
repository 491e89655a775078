package manifest

import (
	"cmp"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// Bucket is a part with some customers and budgets of a configuration. A
// customer's applications may be distributed over several buckets; only its home
// bucket holds its name and weight.
type Bucket struct {
	Customers []configuration.Customer `json:"customers,omitempty"`
	Budgets   []configuration.Budget   `json:"budgets,omitempty"`
}

// Base is the part with the policy and services, which belong to no customer.
type Base struct {
	Policy   configuration.Policy    `json:"policy"`
	Services []configuration.Service `json:"services"`
}

// SplitConfiguration splits c into parts.
func SplitConfiguration(c configuration.Configuration, l Layout) (s Split, err error) {
	defer func() { err = merry.Prependf(err, "splitting configuration %d", c.Revision) }()
	buckets := make([]Bucket, l)
	groupCounts := groupCountsByCustomer(c)
	for _, customer := range c.Customers {
		l.distribute(buckets, customer, groupCounts[customer.ID])
	}
	for _, b := range c.Budgets {
		i := l.bucketOf(string(b.Customer), string(b.ID), groupCounts[b.Customer])
		buckets[i].Budgets = append(buckets[i].Budgets, b)
	}
	return split(Base{Policy: c.Policy, Services: c.Services}, buckets)
}

// split encodes the base and buckets of a document.
func split[B any](base any, buckets []B) (s Split, err error) {
	s.Parts = make(Parts, len(buckets)+1)
	if s.List.Base, err = s.Parts.add(base); err != nil {
		return Split{}, err
	}
	for _, b := range buckets {
		digest, err := s.Parts.add(b)
		if err != nil {
			return Split{}, err
		}
		s.List.Buckets = append(s.List.Buckets, digest)
	}
	return s, nil
}

// groupCountsByCustomer returns the number of groups of each customer's rows. It
// is determined by the larger of the numbers of budgets and applications.
func groupCountsByCustomer(c configuration.Configuration) map[ident.Customer]int {
	counts := make(map[ident.Customer]int, len(c.Customers))
	for _, b := range c.Budgets {
		counts[b.Customer]++
	}
	for _, customer := range c.Customers {
		counts[customer.ID] = groupCount(max(counts[customer.ID], len(customer.Applications)))
	}
	return counts
}

// distribute adds a customer to the buckets of its applications and to its home
// bucket.
func (l Layout) distribute(buckets []Bucket, c configuration.Customer, groups int) {
	byBucket := make(map[int][]configuration.Application, groups)
	for _, app := range c.Applications {
		i := l.bucketOf(string(c.ID), string(app.ID), groups)
		byBucket[i] = append(byBucket[i], app)
	}
	home := l.homeBucket(string(c.ID))
	c.Applications = byBucket[home]
	buckets[home].Customers = append(buckets[home].Customers, c)
	delete(byBucket, home)
	for i, apps := range byBucket {
		buckets[i].Customers = append(buckets[i].Customers, configuration.Customer{ID: c.ID, Applications: apps})
	}
}

// DecodeBase decodes the base of a configuration.
func DecodeBase(p Parts, m Manifest) (b Base, err error) {
	err = p.read(m.Base, &b)
	return b, merry.Prependf(err, "reading the base of revision %d", m.Revision)
}

// DecodeBucket decodes a bucket of a configuration.
func DecodeBucket(p Parts, digest Digest) (b Bucket, err error) {
	err = p.read(digest, &b)
	return b, merry.Prependf(err, "reading bucket %s", digest)
}

// AssembleConfiguration assembles the configuration that m describes.
func AssembleConfiguration(m Manifest, p Parts) (c configuration.Configuration, err error) {
	defer func() { err = merry.Prependf(err, "assembling configuration %d", m.Revision) }()
	base, err := DecodeBase(p, m)
	if err != nil {
		return configuration.Configuration{}, err
	}
	buckets := make([]Bucket, len(m.Buckets))
	for i, digest := range m.Buckets {
		if buckets[i], err = DecodeBucket(p, digest); err != nil {
			return configuration.Configuration{}, err
		}
	}
	return JoinConfiguration(m, base, buckets), nil
}

// JoinConfiguration returns the configuration that consists of decoded parts. It does not
// change the parts, so that they can be cached and joined again.
func JoinConfiguration(m Manifest, base Base, buckets []Bucket) configuration.Configuration {
	c := configuration.Configuration{
		Revision:      m.Revision,
		AnswersDigest: m.AnswersDigest,
		Policy:        base.Policy,
		Customers:     make([]configuration.Customer, 0),
		Budgets:       make([]configuration.Budget, 0),
		Services:      base.Services,
	}
	for _, b := range buckets {
		c.Customers = append(c.Customers, b.Customers...)
		c.Budgets = append(c.Budgets, b.Budgets...)
	}
	slices.SortFunc(c.Budgets, func(x, y configuration.Budget) int { return cmp.Compare(x.ID, y.ID) })
	c.Customers = joinCustomers(c.Customers)
	return c
}

// joinCustomers sorts the customers and merges the pieces of each. It reuses the
// slice pieces, but not their lists of applications, which belong to the parts.
func joinCustomers(pieces []configuration.Customer) []configuration.Customer {
	slices.SortFunc(pieces, func(x, y configuration.Customer) int { return cmp.Compare(x.ID, y.ID) })
	joined := pieces[:0]
	for _, piece := range pieces {
		if len(joined) == 0 || joined[len(joined)-1].ID != piece.ID {
			joined = append(joined, piece)
			continue
		}
		last := &joined[len(joined)-1]
		last.Name = cmp.Or(last.Name, piece.Name)
		last.Weight = cmp.Or(last.Weight, piece.Weight)
		last.Applications = append(slices.Clip(last.Applications), piece.Applications...)
	}
	for i := range joined {
		joined[i].Applications = sortedApplications(joined[i].Applications)
	}
	return joined
}

// sortedApplications returns apps sorted by identifier. It copies apps if they
// are not sorted, and returns an empty list for nil.
func sortedApplications(apps []configuration.Application) []configuration.Application {
	byID := func(x, y configuration.Application) int { return cmp.Compare(x.ID, y.ID) }
	if apps == nil {
		return make([]configuration.Application, 0)
	}
	if slices.IsSortedFunc(apps, byID) {
		return apps
	}
	apps = slices.Clone(apps)
	slices.SortFunc(apps, byID)
	return apps
}
