package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/generator"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// registerAnswers adds the subcommands of answers.
func (c *command) registerAnswers(parent *kingpin.CmdClause) {
	var from, file, other, id string
	var merge bool
	var revision int64

	newClause := c.addCommand(parent, "new", "Ask for the answers in the terminal and print them.", false, func() error { return c.newAnswers(from) })
	newClause.Flag("from", "File with answers to begin with.").PlaceHolder("FILE").StringVar(&from)

	check := c.addCommand(parent, "check", "Check answers and name each wrong field.", false, func() error { return c.checkAnswers(file) })
	check.Arg("file", "File with the answers.").Required().StringVar(&file)

	generate := c.addCommand(parent, "generate", "Print the configuration made from answers.", false, func() error { return c.generate(file, revision) })
	generate.Arg("file", "File with the answers.").Required().StringVar(&file)
	generate.Flag("revision", "Revision of the configuration; by default one more than that of the answers.").Int64Var(&revision)

	diff := c.addCommand(parent, "diff", "Compare two answers, or answers with those in force.", false, func() error { return c.diff(file, other) })
	diff.Arg("file", "File with the earlier answers, or the only one.").Required().StringVar(&file)
	diff.Arg("other", "File with the later answers.").StringVar(&other)

	apply := c.addCommand(parent, "apply", "Put answers in force and wait until they are in force on all VMs.", true, func() error { return c.apply(file, id, merge) })
	apply.Arg("file", "File with the answers.").Required().StringVar(&file)
	apply.Flag("id", "Identifier of the change. Repeat that of a change with an unknown outcome to resolve it.").StringVar(&id)
	apply.Flag("merge", "Merge with answers applied in the meantime if the changes do not conflict.").BoolVar(&merge)

	c.addCommand(parent, "show", "Print the answers in force.", true, c.showAnswers)
}

// newAnswers prompts for answers and prints them. Answers that fail the check
// are printed too, and the problems are returned.
func (c *command) newAnswers(from string) error {
	start := answers.Blank()
	if from != "" {
		var err error
		if start, err = readAnswers(from); err != nil {
			return err
		}
	}
	a, err := answers.Ask(c.Input, c.Errors, start)
	var problems answers.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	return errors.Join(c.printAnswers(a), err)
}

func (c *command) printAnswers(a answers.Answers) error {
	data, err := answers.Encode(a)
	if err != nil {
		return err
	}
	_, err = c.Output.Write(data)
	return err
}

// readAnswers decodes a file with answers.
func readAnswers(file string) (answers.Answers, error) {
	data, err := readFile(file)
	if err != nil {
		return answers.Answers{}, err
	}
	return answers.Decode(data)
}

// checkAnswers checks a file with answers and returns its problems as the error.
// With --json it also prints them.
func (c *command) checkAnswers(file string) error {
	a, err := readAnswers(file)
	var problems answers.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if c.json {
		return errors.Join(printJSON(c.Output, problems), err)
	}
	if err == nil {
		_, err = fmt.Fprintf(c.Output, "%s is right: %d customers, %d services\n", file, len(a.Customers), len(a.Services))
	}
	return err
}

func (c *command) generate(file string, revision int64) error {
	a, err := readAnswers(file)
	if err != nil {
		return err
	}
	if revision == 0 {
		revision = int64(a.Revision) + 1
	}
	generated, err := generator.Generate(a, configuration.Revision(revision), nil)
	if err != nil {
		return err
	}
	return printJSON(c.Output, generated)
}

// diff compares two files with answers, or the answers in force with one file.
func (c *command) diff(file, other string) error {
	after, err := readAnswers(file)
	if err != nil {
		return err
	}
	if other == "" {
		return c.withFleet(func(ctx context.Context, f *fleet) error {
			s, err := f.publisher.InForce(ctx)
			if err != nil && !errors.Is(err, publication.ErrNoRevision) {
				return err
			}
			return c.printChanges(answers.Difference(s.Answers, after))
		})
	}
	before := after
	if after, err = readAnswers(other); err != nil {
		return err
	}
	return c.printChanges(answers.Difference(before, after))
}

func (c *command) printChanges(changes []answers.Change) error {
	if c.json {
		return printJSON(c.Output, changes)
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(c.Output, change); err != nil {
			return err
		}
	}
	return nil
}

func (c *command) showAnswers() error {
	return c.withFleet(func(ctx context.Context, f *fleet) error {
		s, err := f.publisher.InForce(ctx)
		if err != nil {
			return err
		}
		return c.printAnswers(s.Answers)
	})
}

// apply puts answers in force and waits for the VMs. A new identifier is chosen
// if id is empty.
func (c *command) apply(file, id string, merge bool) error {
	a, err := readAnswers(file)
	if err != nil {
		return err
	}
	if id == "" {
		id = newID()
	}
	return c.withFleet(func(ctx context.Context, f *fleet) error {
		receipt, err := f.apply(ctx, publication.Change{ID: id, Answers: a}, merge)
		if err != nil {
			return c.addApplyHint(err, id)
		}
		if err := c.awaitInForce(ctx, f, receipt); err != nil {
			return err
		}
		c.sweep(ctx, f, receipt)
		return nil
	})
}

// sweepInterval is the number of revisions between removals of the parts of old
// revisions.
const sweepInterval = 25

// sweep removes the parts of old revisions once every sweepInterval revisions.
// A failure is reported and does not fail the command: a later call removes
// what is left.
func (c *command) sweep(ctx context.Context, f *fleet, receipt publication.Receipt) {
	if receipt.Revision%sweepInterval != 0 {
		return
	}
	removed, err := f.publisher.Sweep(ctx)
	if err != nil {
		c.report("old parts were not removed: %v\n", err)
		return
	}
	c.report("removed %d old parts\n", removed)
}

// apply puts a change in force. If merge is set and other answers have been
// applied in the meantime, it merges the change with them and tries again,
// unless they conflict.
func (f *fleet) apply(ctx context.Context, change publication.Change, merge bool) (publication.Receipt, error) {
	for {
		receipt, err := f.publisher.Apply(ctx, change)
		var conflict *publication.ConflictError
		if !merge || !errors.As(err, &conflict) || len(conflict.Comparison.Conflicts) > 0 {
			return receipt, err
		}
		merged, mergeErr := answers.Merge(conflict.BaseAnswers, conflict.Theirs, change.Answers)
		if mergeErr != nil {
			return receipt, errors.Join(err, mergeErr)
		}
		change.Answers = merged
	}
}

// addApplyHint prints the comparison of a conflict, or appends to an unknown
// outcome how to resolve it. It returns err with these additions.
func (c *command) addApplyHint(err error, id string) error {
	var conflict *publication.ConflictError
	switch {
	case errors.As(err, &conflict) && c.json:
		return errors.Join(err, printJSON(c.Output, conflict.Comparison))
	case errors.As(err, &conflict):
		_, printErr := fmt.Fprint(c.Output, conflict.Comparison)
		return errors.Join(err, printErr)
	case errors.Is(err, publication.ErrUnknown):
		return merry.Appendf(err, "run the command again with --id %s to find out", id)
	}
	return err
}

// vmRevision is the revision that a VM has in force. Problem is set if the VM
// could not be queried.
type vmRevision struct {
	VM       ident.VM               `json:"vm"`
	Revision configuration.Revision `json:"revision"`
	Problem  string                 `json:"problem,omitempty"`
}

// awaitInForce polls the VMs until all of them have the revision in force or
// the timeout inForceSeconds in the settings has passed. It prints the VMs that lag, and returns
// errPartial if there are any or if no VM could be listed.
func (c *command) awaitInForce(ctx context.Context, f *fleet, receipt publication.Receipt) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.InForce())
	defer cancel()
	var vms, lagging []vmRevision
	for {
		states, err := f.vms(ctx)
		if err == nil {
			vms, lagging = splitLagging(states, receipt.Revision)
			c.report("revision %d is in force on %d of %d VMs\n", receipt.Revision, len(vms)-len(lagging), len(vms))
			if len(lagging) == 0 {
				break
			}
		}
		if sleep(ctx, pollInterval) != nil {
			break
		}
	}
	if err := c.printRollout(receipt, vms, lagging); err != nil {
		return err
	}
	if len(lagging) > 0 || len(vms) == 0 && ctx.Err() != nil {
		return merry.Prependf(errPartial, "revision %d is in force, but %d VMs lag", receipt.Revision, len(lagging))
	}
	return nil
}

// splitLagging returns all VMs, and those whose revision is below r.
func splitLagging(states []vmState, r configuration.Revision) (vms, lagging []vmRevision) {
	for _, s := range states {
		vm := vmRevision{VM: s.VM, Revision: s.Revision, Problem: s.Problem}
		vms = append(vms, vm)
		if s.Revision < r {
			lagging = append(lagging, vm)
		}
	}
	return vms, lagging
}

// printRollout prints on how many VMs the revision is in force, and which lag.
func (c *command) printRollout(receipt publication.Receipt, vms, lagging []vmRevision) error {
	if c.json {
		return printJSON(c.Output, struct {
			Revision configuration.Revision `json:"revision"`
			VMs      int                    `json:"vms"`
			InForce  int                    `json:"inForce"`
			Lagging  []vmRevision           `json:"lagging"`
		}{receipt.Revision, len(vms), len(vms) - len(lagging), lagging})
	}
	rows := make([][]string, 0, len(lagging))
	for _, l := range lagging {
		rows = append(rows, []string{string(l.VM), fmt.Sprint(l.Revision), l.Problem})
	}
	_, err := fmt.Fprintf(c.Output, "revision %d in force on %d of %d VMs\n", receipt.Revision, len(vms)-len(lagging), len(vms))
	if err != nil || len(rows) == 0 {
		return err
	}
	return printTable(c.Output, []string{"LAGGING VM", "REVISION", "PROBLEM"}, rows)
}
