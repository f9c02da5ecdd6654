// Package main plays the scripted cases of the second review. It runs the gateway nodes as separate processes, with the
// command of the deploy file, before stand-ins of the platform's store and of the backend servers.
//
// # Usage
//
//	target/review-2 CASE FOLDER
//
// It writes record.txt into the folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case that ran.
type verdict struct {
	broken bool
	reason string
}

// cases are the scripted cases by their names.
var cases = map[string]func(trouble bool, record *record) (verdict, error){
	"foreign-epoch":   playForeignEpoch,
	"unreadable-key":  playUnreadableKey,
	"missing-born":    playMissingBorn,
	"foreign-refusal": playForeignRefusal,
	"foreign-success": playForeignSuccess,
	"rolling-silence": playRollingSilence,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitFailed
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	found, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0", record)
	switch {
	case err != nil:
		record.print("the case could not run: %v", err)
		return exitFailed
	case found.broken:
		record.print("BROKEN: %s", found.reason)
		return exitBroken
	}
	record.print("held: %s", found.reason)
	return exitHeld
}
