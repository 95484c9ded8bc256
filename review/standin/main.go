// Command standin plays one case of the review: it starts gateways with the command of the deploy file, plays
// the platform's store, the workers and the clients around them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRuntime ends a run that hangs.
const maxRuntime = 115 * time.Second

// play plays a case and returns whether the rule was broken.
type play func(s *system) (broken bool, err error)

var cases = map[string]play{
	"same-address":    playSameAddress,
	"drained-decoder": playDrainedDecoder,
	"large-bodies":    playLargeBodies,
	"late-beat":       playLateBeat,
	"unframed-crash":  playUnframedCrash,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 4 && os.Args[1] == workerProcess {
		return runWorkerProcess(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSystem(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](s)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			s.note("the case could not run: %v", r.err)
			return exitNotRun
		}
		if r.broken {
			s.note("result: the rule was broken")
			return exitBroken
		}
		s.note("result: the rule held")
		return exitHeld
	case <-ended:
		s.note("the case was interrupted")
	case <-time.After(maxRuntime):
		s.note("the case did not end in time")
	}
	return exitNotRun
}
