package configcheck

import (
	"fmt"

	"example.org/lagoonfork/internal/route"
	"example.org/lagoonfork/pkg/ident"
)

// checkCustomers checks the customers, their keys and their budgets.
func (k *checker) checkCustomers() {
	owners := make(map[route.Key]int) // as route.Table has them: the last customer with the key
	for i, c := range k.Table.Customers {
		for _, key := range c.Keys {
			owners[key] = i
		}
	}
	names := make(map[ident.Customer]int, len(k.Table.Customers))
	leastCost := k.leastCost()
	for i, c := range k.Table.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		if first, ok := names[c.ID]; ok {
			k.warn(path+".name", "%q is also the name of %s; both have one budget", c.ID, k.mention("customers[%d]", first))
		} else {
			names[c.ID] = i
		}
		k.checkKeys(i, path, owners)
		if c.Metered && c.Prepaid < leastCost {
			k.warn(path+".prepaid", "%d is below the cost of one request, which is at least %d", c.Prepaid, leastCost)
		}
	}
}

// checkKeys checks the keys of customer i. Routes admit a customer by any of its keys.
func (k *checker) checkKeys(i int, path string, owners map[route.Key]int) {
	admitted := false
	for j, key := range k.Table.Customers[i].Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
		owner := owners[key]
		admitted = admitted || owner == i
		if owner != i {
			k.warn(keyPath, "the key with the hash %v also belongs to %s, which gets its requests", key, k.mention("customers[%d]", owner))
		}
		if key == "" {
			k.warn(keyPath, "is empty: requests without a key are admitted as this customer's")
		}
	}
	if !admitted {
		k.warn(path, "is not admitted by any route: the customer has no key of its own")
	}
}
