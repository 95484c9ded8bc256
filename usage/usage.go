// Package usage reports to the platform how many requests of each client account began to run in each window of time.
//
// Each instance counts the runs that it starts. It sends its counts to the instance that holds the lease for duties,
// which adds them up and reports each window once. docs/design/usage.md describes messages, failures and cost.
package usage

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the state that is kept.
const (
	maxWindows  = 64
	maxAccounts = 16384 // per window
	// maxInstances limits the instances from which a holder accepts counts.
	maxInstances = 1024
)

// Windows divides the time into windows of one length. Window k begins k lengths after the Unix epoch.
type Windows struct {
	Length time.Duration
	// Late is the time after the end of a window within which its report is due.
	Late time.Duration
}

// At returns the window that contains a time.
func (w Windows) At(t time.Time) int64 { return t.UnixNano() / int64(w.Length) }

// Start returns the start of a window.
func (w Windows) Start(window int64) time.Time { return time.Unix(0, window*int64(w.Length)) }

// End returns the end of a window.
func (w Windows) End(window int64) time.Time { return w.Start(window + 1) }

// Due returns the time at which the report of a window is due.
func (w Windows) Due(window int64) time.Time { return w.End(window).Add(w.Late) }

// WindowCounts holds the runs by account that began in a window.
type WindowCounts struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Message holds counts of an instance. They are cumulative for a run of its process, so that repeated and reordered
// messages change nothing.
type Message struct {
	Instance string `json:"instance"`
	// Run identifies the run of the process.
	Run int64 `json:"run"`
	// FinalThrough is the last window in which the instance counts no more runs.
	FinalThrough int64          `json:"final_through"`
	Windows      []WindowCounts `json:"windows"`
	// HolderTag is the tag of the lease session to whose holder the message is sent; 0 if it is for any instance. A process
	// that holds the lease in another session has not got the counts that were sent before.
	HolderTag uint32 `json:"-"`
	// DecidedThrough is the last window that the instance knows to be decided.
	DecidedThrough int64 `json:"decided_through,omitempty"`
	// CompleteEra is the era of the store before which no window above DecidedThrough was recorded; 0 if the instance knows
	// of none.
	CompleteEra uint64 `json:"complete_era,omitempty"`
	// RecordWindow is the window of the last record that the instance has seen, if its report may still be sent; else 0.
	RecordWindow int64 `json:"-"`
	// Record is that record, for a holder that wants it; else nil.
	Record *Record `json:"-"`
	// Clock is the time of the instance's window clock at which the message was made.
	Clock time.Time `json:"-"`
	// ClockAhead is by how much the instance's window clock is ahead of the holder's, as measured with an earlier message
	// whose answer came soon; nil if there was none.
	ClockAhead *time.Duration `json:"-"`
	// NewFence is the number of the lease that the sender holds, in a message to the former holder; else 0.
	NewFence uint64 `json:"-"`
	// Address is where the instance takes messages.
	Address string `json:"-"`
	// Copy is true for a copy of the counts of a holder, or of an instance that stops, which another instance keeps and
	// passes to the next holder.
	Copy bool `json:"-"`
}

// Ack is the holder's response to a message.
type Ack struct {
	// DecidedThrough is the last window that takes no more counts.
	DecidedThrough int64
	// Instances is the number of instances from which the holder gets counts.
	Instances int
	// Clock is the time of the holder's window clock.
	Clock time.Time
	// Peers holds the addresses of some other instances.
	Peers []string
	// EndedAgo is how long ago the authority of a former holder ended; nil if the called instance had none.
	EndedAgo *time.Duration
	// WantRecord asks for the record that the message names.
	WantRecord bool
	// NotHolder is true if the called instance has not taken the message: it is not the holder, or holds the lease in another
	// session than the message is for. HolderAddress and HolderSession are those of the holder, as far as known there; a
	// session without an address is that of the called instance. HolderSession is also set if a message without HolderTag was taken.
	NotHolder                    bool
	HolderAddress, HolderSession string
}

// sessionTag returns the tag of a lease session, which is never 0.
func sessionTag(session string) uint32 { return uint32(xxhash.Sum64String(session)) | 1 } //nolint:gosec // a part of the hash will do

// Report holds the runs of all instances in a window.
type Report = WindowCounts

// Validate checks that the windows are usable.
func (w Windows) Validate() error {
	if w.Length <= 0 || w.Late <= 0 {
		return fmt.Errorf("usage windows: length %s and lateness %s must be above 0s", w.Length, w.Late)
	}
	return nil
}
