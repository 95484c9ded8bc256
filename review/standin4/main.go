// Command standin4 plays the cases of the third review that are scripts: it starts gateways as processes, with the
// command of the deploy file, and is itself the store, the platform's API, the workers and the clients.
//
//	standin4 CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 it plays the case
// without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// errBroken means that a rule was broken.
var errBroken = errors.New("rule broken")

// playTime limits a case.
const playTime = 100 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin4 CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*world) error{
		"reports": playReports,
		"streams": playStreams,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2]))
}

// run plays a case and returns the exit code.
func run(play func(*world) error, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	err = play(w)
	switch {
	case err == nil:
		w.note("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.note("result: %v", err)
		return 1
	}
	w.note("result: the case could not run: %v", err)
	return 2
}
