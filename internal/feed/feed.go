// Package feed carries the view of a VM's burdock-sync to the entry and gather processes of the
// same VM: the bundle in force, the VMs, and evidence about upstreams.
package feed

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// View is a process's knowledge of the fleet. It is immutable; each change produces a new View.
type View struct {
	// VM and Zone are the process's own.
	VM, Zone string
	// Bundle is the bundle in force, nil until the first is accepted.
	Bundle *bundle.Bundle
	// HighestVersion is the highest bundle version known in the fleet.
	HighestVersion uint64
	VMs            []*pb.Vm
	Upstreams      []*pb.Upstream
	Departures     []*pb.Departure
	Crashes        []*pb.Crash
	// Received is the local time at which the lists arrived. Ages of departures and crashes count
	// from here.
	Received time.Time
	// Heard is the local time at which the sync last confirmed the view: that of its check before
	// the last message, which may have left the lists unchanged.
	Heard time.Time
	// PlatformAge is the age of the last platform contact at the time Heard, or NeverReached.
	PlatformAge time.Duration
}

// MaxSendDelay is how long after the last check of its view a process may still send work by it. A
// longer delay counts as a pause of the process, so that leaves refuse work that arrives later.
const MaxSendDelay = 500 * time.Millisecond

// NeverReached is the PlatformAge if no known VM has ever reached the platform.
const NeverReached time.Duration = -1

// Source provides the current view. Implementations are safe for concurrent use.
type Source interface {
	// Current returns the current view. It is never nil, and empty before the first message.
	Current() *View
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Fresh reports whether the sync has been heard from recently enough to accept new work.
	Fresh() bool
	// FreshSince reports whether work based on a view taken at t, or a little later, may still
	// start: Fresh is true, and the process has not been paused since t. A fresh view that arrived
	// meanwhile does not make the old one valid.
	FreshSince(t time.Time) bool
}

// Reporter sends what a process observed to the sync, which spreads it. Calls do not block.
type Reporter interface {
	ReportDeparture(*pb.Departure)
	ReportCrash(*pb.Crash)
	// SetState sets the state of the process. The sync notifies the other VMs at once.
	SetState(pb.ProcessState)
}
