// Command standin3 plays the cases of a review: it starts gateways by the deploy file, with stand-ins of the
// platform's store, of workers and of clients on loopback addresses, and judges a rule by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*play) (broken bool, err error){
	"entry-of-other-writer": entryOfOtherWriter,
	"store-turns-away":      storeTurnsAway,
	"late-heartbeat":        lateHeartbeat,
	"stale-entry":           staleEntry,
	"restart-after-crashes": restartAfterCrashes,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(exitFailed)
	}
	os.Exit(playCase())
}

func playCase() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("logs", "", "folder for the logs of the gateways; empty for a temporary one")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitFailed
	}
	p, err := newPlay(*record, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer p.close()
	time.AfterFunc(longest, func() {
		p.note("could not run: not over after %s", longest)
		p.close()
		os.Exit(exitFailed)
	})
	broken, err := run(p)
	switch {
	case err != nil:
		p.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		p.note("result: the rule was broken")
		return exitBroken
	}
	p.note("result: the rule held")
	return exitHeld
}
