// Command review-standins-2 runs one case of the review against the programs of this
// repository, which it starts as separate processes.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken int, err error){
	"repeated": repeatedAnswer,
	"memory":   memory,
	"refusal":  refusal,
	"wiped":    wiped,
}

func main() { os.Exit(run1(os.Args[1:])) }

func run1(args []string) (code int) {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins-2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[args[0]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errNotRunnable), err != nil:
		rec.line("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken > 0:
		rec.line("BROKEN: %d", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.line("held")
	fmt.Println("held")
	return exitHeld
}
