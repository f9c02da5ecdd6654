// Command harness3 plays the cases of a review against processes of the program.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(record *record, trouble bool) (int, error){
	"leftovers": leftovers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(cannotRun)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	record.note("exit code %d", code)
	os.Exit(code)
}
