package answers

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/jsontree"
)

// Change is a field or list element that differs between two sets of answers.
type Change = jsontree.Change

// Comparison is the result of a three-way comparison.
type Comparison struct {
	Theirs []Change `json:"theirs"` // from the base to theirs
	Mine   []Change `json:"mine"`   // from the base to mine
	// Conflicts lists the paths that both sides changed to different values.
	Conflicts []string `json:"conflicts"`
}

// String lists the changes of both sides and the conflicts.
func (c Comparison) String() string {
	var b strings.Builder
	for _, change := range c.Theirs {
		fmt.Fprintf(&b, "theirs %s\n", change)
	}
	for _, change := range c.Mine {
		fmt.Fprintf(&b, "mine   %s\n", change)
	}
	for _, path := range c.Conflicts {
		fmt.Fprintf(&b, "both   %s\n", path)
	}
	return b.String()
}

// Difference returns the changes from before to after in order of field and element
// names. Elements are compared by identifier, not by position. Revisions are ignored.
func Difference(before, after Answers) []Change {
	return treeOf(before).Changes(treeOf(after))
}

// Compare compares two sets of answers with the base that both derive from.
func Compare(base, theirs, mine Answers) Comparison {
	root := treeOf(base)
	t, m := treeOf(theirs), treeOf(mine)
	_, conflicts := jsontree.Merge(root, t, m)
	return Comparison{Theirs: root.Changes(t), Mine: root.Changes(m), Conflicts: conflicts}
}

// Merge returns theirs with the changes from base to mine. Its revision is
// that of theirs. It fails if both sides changed the same field to different
// values, with the conflicts in the error, or if the merged answers are invalid.
func Merge(base, theirs, mine Answers) (merged Answers, err error) {
	defer func() { err = merry.Prepend(err, "merging answers") }()
	tree, conflicts := jsontree.Merge(treeOf(base), treeOf(theirs), treeOf(mine))
	if len(conflicts) > 0 {
		return Answers{}, merry.Errorf("both sides changed %s", strings.Join(conflicts, ", "))
	}
	data, err := json.Marshal(tree)
	if err != nil {
		return Answers{}, err
	}
	if merged, err = Decode(data); err != nil {
		return Answers{}, err
	}
	merged.Revision = theirs.Revision
	return merged, nil
}

// treeOf returns the JSON form of a, without its revision.
func treeOf(a Answers) jsontree.Tree {
	a.Revision = 0
	tree, err := jsontree.Of(Canonical(a), elementKey)
	if err != nil {
		panic(err) // every field of Answers can be marshalled
	}
	return tree
}

// elementKey returns the key of a list element: its identifier, or the method and path prefix
// of a call. Identifiers in lists of them have none; such a list is compared as a whole.
func elementKey(element any) (key string, ok bool) {
	o, ok := element.(map[string]any)
	if !ok {
		return "", false
	}
	if id, ok := o["id"].(string); ok {
		return id, true
	}
	return fmt.Sprint(o["method"], " ", o["pathPrefix"]), true
}
