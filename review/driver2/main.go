//go:build review

// Command driver2 plays the cases of the review that need more than a day of the bench: it starts the
// routers as separate processes, plays the store, the workers and the clients itself, and checks a rule.
//
// # Usage
//
//	driver2 CASE DIRECTORY
//
// DIRECTORY gets record.txt. The exit status is 0 if the rule held, 1 if it was broken, and 2 if the
// case could not run. With TROUBLE=0 in the environment, the case is played without the disruption.
package main

import (
	"fmt"
	"os"
)

// cases maps the names of the cases to the functions that play them. They report whether the rule held.
var cases = make(map[string]func(s *stage, root string) (held bool, err error))

func main() { os.Exit(execute(os.Args[1:])) }

// execute plays one case and returns the exit status.
func execute(args []string) (status int) {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE DIRECTORY")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newStage(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	held, err := cases[args[0]](s, root)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case !held:
		s.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	s.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
