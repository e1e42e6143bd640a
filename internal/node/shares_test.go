package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The fleet counts as known once no VM shows up for a while, and some seconds after the start in any case.
func TestFleetSizeSettles(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := fleetSize{started: now}
	is.True(f.unsettled(1, now))
	is.True(f.unsettled(40, now.Add(600*time.Millisecond)))
	is.True(f.unsettled(40, now.Add(1500*time.Millisecond)))
	is.True(!f.unsettled(40, now.Add(1600*time.Millisecond)))
	is.True(f.unsettled(41, now.Add(2*time.Second)))
	is.True(!f.unsettled(42, now.Add(settledMost)))
}
