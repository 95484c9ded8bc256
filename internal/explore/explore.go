// Package explore plays orders of events against real code, for tests: all of them up to a number of events, or drawn ones. A
// world is the code together with a small deployment of fakes around it, in which nothing happens between two events. Worlds
// cannot be copied, so that each history is played from its beginning.
package explore

import (
	"errors"
	"fmt"
	"hash/maphash"
	"runtime"
	"strings"
	"sync"
	"time"
)

// World is one run of the code under test.
type World interface {
	// Events returns the events that may come next, always in the same order for the same state.
	Events() []string
	// Apply plays an event.
	Apply(event string)
	// State describes the state. Of the histories that lead to the same state only one is continued.
	State() string
	// Check returns the promise that is broken. It may play the rest of the run, and is the last call but Close.
	Check() error
	// Close ends what the world has started.
	Close()
}

// Player plays something with a new world, for example in a bubble of testing/synctest, and returns when it has ended. It must
// be safe for concurrent use.
type Player func(f func(w World))

// Failure is a history that breaks a promise.
type Failure struct {
	History []string
	Err     error
}

// Error implements error. The text names the history in the form that Parse reads.
func (f *Failure) Error() string {
	return fmt.Sprintf("%v\nafter %d events, none shorter found: %s", f.Err, len(f.History), Format(f.History))
}

// Format returns a history as one line, and Parse reads it.
func Format(history []string) string { return strings.Join(history, "; ") }

// Parse reads a history that Format has written.
func Parse(line string) []string {
	if strings.TrimSpace(line) == "" {
		return nil
	}
	return strings.Split(line, "; ")
}

// Replay plays a history and returns the promise that is broken. An event that is not possible is an error.
func Replay(play Player, history []string) error {
	var err error
	play(func(w World) {
		defer w.Close()
		for i, event := range history {
			if !contains(w.Events(), event) {
				err = fmt.Errorf("event %d, %q, is not possible; possible are %q", i+1, event, w.Events())
				return
			}
			w.Apply(event)
		}
		err = w.Check()
	})
	return err
}

func contains(events []string, event string) bool {
	for _, e := range events {
		if e == event {
			return true
		}
	}
	return false
}

// Result tells what was explored.
type Result struct {
	// States is the number of states found and Histories the number of histories played.
	States, Histories int
	// Depth is the number of events of the longest histories, all of which were played unless Cut is true.
	Depth int
	// Cut is true if the time was over before.
	Cut     bool
	Elapsed time.Duration
	// Failure is a shortest history that breaks a promise, or nil.
	Failure *Failure
}

func (r Result) String() string {
	return fmt.Sprintf("%d states, %d histories, up to %d events, all: %v, %.1f s", r.States, r.Histories, r.Depth, !r.Cut, r.Elapsed.Seconds())
}

// errEnded means that the world has ended the goroutine that played it, for example by a failed assertion.
var errEnded = errors.New("the world ended the test")

// All plays all histories of up to depth events, the shorter ones first, for at most the time limit. It ends with the first
// length at which a promise is broken.
func All(play Player, depth int, limit time.Duration) (r Result) {
	started := time.Now()
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{}
	frontier := [][]string{nil}
	if err := Replay(play, nil); err != nil {
		r.Failure = &Failure{nil, err}
		return r
	}
	for r.Depth = 0; r.Depth < depth && len(frontier) > 0; r.Depth++ {
		var next [][]string
		var mu sync.Mutex
		work := make(chan []string)
		died := make(chan struct{})
		var dies sync.Once
		var workers sync.WaitGroup
		for range runtime.GOMAXPROCS(0) {
			workers.Go(func() {
				var current []string
				finished := false
				defer func() {
					// A failed assertion in a world ends the goroutine that plays it.
					if !finished {
						mu.Lock()
						r.Failure = &Failure{current, errEnded}
						mu.Unlock()
						dies.Do(func() { close(died) })
					}
				}()
				for history := range work {
					current = history
					for _, longer := range continuations(play, history) {
						state, err := playOut(play, longer)
						h := maphash.String(seed, state)
						mu.Lock()
						r.Histories++
						if err != nil && r.Failure == nil {
							r.Failure = &Failure{longer, err}
						}
						if !seen[h] {
							seen[h] = true
							next = append(next, longer)
						}
						mu.Unlock()
					}
				}
				finished = true
			})
		}
		for _, history := range frontier {
			mu.Lock()
			stop := r.Failure != nil
			mu.Unlock()
			if stop || time.Since(started) > limit {
				r.Cut = !stop
				break
			}
			select {
			case work <- history:
			case <-died:
			}
		}
		close(work)
		workers.Wait()
		if r.Failure != nil || r.Cut {
			break
		}
		frontier = next
	}
	r.States, r.Elapsed = len(seen), time.Since(started)
	return r
}

// continuations returns the histories that are one event longer.
func continuations(play Player, history []string) (out [][]string) {
	play(func(w World) {
		defer w.Close()
		for _, event := range history {
			w.Apply(event)
		}
		for _, event := range w.Events() {
			out = append(out, append(append(make([]string, 0, len(history)+1), history...), event))
		}
	})
	return out
}

// playOut plays a history and returns the state after it and the promise that is broken.
func playOut(play Player, history []string) (state string, err error) {
	play(func(w World) {
		defer w.Close()
		for _, event := range history {
			w.Apply(event)
		}
		state = w.State()
		err = w.Check()
	})
	return state, err
}

// Drawn plays histories of up to events events, each drawn with choose(n) in [0, n), and shortens one that breaks a promise
// by leaving out events.
func Drawn(play Player, histories, events int, choose func(n int) int) (r Result) {
	started := time.Now()
	defer func() { r.Elapsed = time.Since(started) }()
	for range histories {
		r.Histories++
		var history []string
		var err error
		play(func(w World) {
			defer w.Close()
			for range 1 + choose(events) {
				possible := w.Events()
				if len(possible) == 0 {
					break
				}
				event := possible[choose(len(possible))]
				history = append(history, event)
				w.Apply(event)
			}
			err = w.Check()
		})
		r.Depth = max(r.Depth, len(history))
		if err != nil {
			r.Failure = shorten(play, &Failure{history, err})
			return r
		}
	}
	return r
}

// shorten leaves out events of a failing history as long as it fails without them.
func shorten(play Player, f *Failure) *Failure {
	for i := 0; i < len(f.History); {
		shorter := append(append(make([]string, 0, len(f.History)), f.History[:i]...), f.History[i+1:]...)
		possible := true
		var err error
		play(func(w World) {
			defer w.Close()
			for _, event := range shorter {
				if possible = contains(w.Events(), event); !possible {
					return
				}
				w.Apply(event)
			}
			err = w.Check()
		})
		if possible && err != nil {
			f = &Failure{shorter, err}
			i = 0
			continue
		}
		i++
	}
	return f
}
