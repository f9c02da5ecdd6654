// Command harness runs the review cases. It starts the entry nodes with the command of the deploy file as separate
// processes on loopback addresses, stands in for the platform's store, the runners and the clients, injects the
// disruption of a case and checks the rule that the case names.
//
// # Usage
//
//	target/review-harness CASE FOLDER
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment the same load runs without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// scenario is one review case. It returns a description of how the rule was broken, or an empty string.
type scenario struct {
	deployment deploymentShape
	run        func(deployment *deployment) (broken string, err error)
}

// scenarios holds the cases by name.
var scenarios = map[string]scenario{}

// errUsage reports wrong arguments.
var errUsage = errors.New("usage: review-harness CASE FOLDER")

func main() {
	os.Exit(runMain(os.Args[1:]))
}

func runMain(arguments []string) int {
	if len(arguments) != 2 {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitFailed
	}
	chosen, known := scenarios[arguments[0]]
	if !known {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitFailed
	}
	record, err := newRecorder(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	return runScenario(&chosen, record, os.Getenv("TROUBLE") != "0")
}

// runScenario runs a case and ends all processes that it started, also if the case hangs or a signal arrives.
func runScenario(chosen *scenario, record *recorder, trouble bool) int {
	deployment, err := startDeployment(chosen.deployment, record, trouble)
	if err != nil {
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer deployment.stop()
	type outcome struct {
		broken string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := chosen.run(deployment)
		ended <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	result := outcome{err: errors.New("the case took too long")}
	select {
	case result = <-ended:
	case <-time.After(maxRunTime):
	case <-interrupted:
		result.err = errors.New("interrupted")
	}
	switch {
	case result.err != nil:
		record.note("the case could not run: %v", result.err)
		fmt.Fprintln(os.Stderr, result.err)
		return exitFailed
	case result.broken != "":
		record.note("BROKEN: %s", result.broken)
		fmt.Println("broken:", result.broken)
		return exitBroken
	}
	record.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
