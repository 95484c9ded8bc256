// Command standin2 plays the scripts of the second review: it starts the gateways of the deploy file and stand-ins
// of the platform's workers as processes on loopback, and holds the stand-in of the platform's store itself.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken means that a case has seen its rule broken.
var errBroken = errors.New("the rule was broken")

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by their name on the command line.
var cases = map[string]func(d *deployment, trouble bool) error{
	"spot":   playSpot,
	"forget": playForget,
	"gone":   playGone,
	"limit":  playLimit,
	"quiet":  playQuiet,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, "worker:", runWorker(os.Args[2]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE GATEWAY-PROGRAM RECORD-FILE, or standin2 worker CONFIG")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(which, gateway, recordPath string, trouble bool) int {
	d, err := newDeployment(gateway, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	err = cases[which](d, trouble)
	d.close()
	switch {
	case err == nil:
		d.note("held")
		return exitHeld
	case errors.Is(err, errBroken):
		d.note("%v", err)
		return exitBroken
	}
	d.note("cannot run: %v", err)
	return exitNotRun
}
