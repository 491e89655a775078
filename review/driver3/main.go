//go:build review

// Command driver3 runs the scripted cases of the third review. Each case starts routers as
// processes of their own, with the program and the settings template of the deploy file, in front
// of stand-ins for the platform's store, the workers and the clients, on loopback addresses.
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// scenario plays a case. It reports whether the rule was broken.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"crashleave":  crashLeave,
	"crashloop":   crashLoop,
	"crashpair":   crashPair,
	"uncounted":   uncounted,
	"release":     release,
	"retrywindow": retryWindowCase,
}

const (
	statusHeld = iota
	statusBroken
	statusCouldNotRun
)

var errUsage = errors.New("usage: driver3 CASE RECORD-FILE")

func main() {
	status, err := execute(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver3:", err)
	}
	os.Exit(status)
}

func execute(args []string) (status int, err error) {
	if len(args) != 2 || scenarios[args[0]] == nil {
		return statusCouldNotRun, errUsage
	}
	program, err := filepath.Abs("target/front")
	if err != nil {
		return statusCouldNotRun, err
	}
	if _, err := os.Stat(program); err != nil {
		return statusCouldNotRun, err
	}
	record, err := newRecord(args[1])
	if err != nil {
		return statusCouldNotRun, err
	}
	defer func() { err = errors.Join(err, record.close()) }()
	f, err := newFleet(program, record)
	if err != nil {
		return statusCouldNotRun, err
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		f.close()
		os.Exit(statusCouldNotRun)
	}()
	broken, err := scenarios[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		return statusCouldNotRun, err
	case broken:
		return statusBroken, nil
	}
	return statusHeld, nil
}
