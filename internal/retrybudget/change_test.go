package retrybudget

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

// TestSeedsThatFailed plays the property of the fleet with the seeds that it once failed with: extra calls were paid
// for by requests that had left the window.
func TestSeedsThatFailed(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	drawn := seed.Value.String()
	defer func() { is.New(t).NoErr(seed.Value.Set(drawn)) }()
	for _, failed := range []uint64{5387082421560452210} {
		is.New(t).NoErr(seed.Value.Set(fmt.Sprint(failed)))
		t.Run(seed.Value.String(), TestFleetStaysWithinTheLimitInAnyWindow)
	}
}

// changingFleet is a fleet whose VMs come, leave and are cut off while it runs.
type changingFleet struct {
	clock *clock
	vms   []*Budgets
	// lone is a VM that is cut off from the others, nil if there is none. healAt is when it is not any more.
	lone   *Budgets
	healAt time.Time
	// events are the requests and extra calls so far.
	events []fleetEvent
}

// fleetEvent is a request or an extra call.
type fleetEvent struct {
	at    time.Time
	extra bool
}

// join adds a VM, which learns of the others before it takes work.
func (f *changingFleet) join() {
	f.vms = append(f.vms, New(fleetLimit, f.clock.read))
	f.applyShares()
}

// leave ends a VM. Its extra calls still count.
func (f *changingFleet) leave(i int) {
	if f.vms[i] == f.lone {
		f.lone = nil
	}
	f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
	f.applyShares()
}

// cutOff makes a VM and the others lose sight of each other.
func (f *changingFleet) cutOff(i int, lasts time.Duration) {
	f.lone, f.healAt = f.vms[i], f.clock.now.Add(lasts)
	f.applyShares()
}

// advance lets time pass and ends the cut when it is due.
func (f *changingFleet) advance(d time.Duration) {
	f.clock.advance(d)
	if f.lone != nil && !f.clock.now.Before(f.healAt) {
		f.lone = nil
	}
	f.applyShares() // as the node does periodically
}

// applyShares divides the slack among the VMs that each VM sees.
func (f *changingFleet) applyShares() {
	for _, b := range f.vms {
		switch {
		case f.lone == nil:
			b.SetShare(evenly(len(f.vms)))
		case b == f.lone:
			b.SetShare(evenly(1))
		default:
			b.SetShare(evenly(len(f.vms) - 1))
		}
	}
}

// work sends requests to a VM, which then makes as many extra calls as it may, up to a number.
func (f *changingFleet) work(i, requests, extra int) {
	for range requests {
		f.vms[i].Request("x")
		f.events = append(f.events, fleetEvent{at: f.clock.now})
	}
	for range extra {
		if f.vms[i].Take("x", Needed) {
			f.events = append(f.events, fleetEvent{f.clock.now, true})
		}
	}
}

// check compares the window that ends now with the platform's limit.
func (f *changingFleet) check(t *rapid.T) {
	requests, extra := 0, 0
	for _, e := range f.events {
		switch {
		case !f.clock.since(e.at):
		case e.extra:
			extra++
		default:
			requests++
		}
	}
	if allowed := fleetLimit.Ratio*float64(requests) + fleetLimit.Slack; float64(extra) > allowed {
		t.Fatalf("%d extra calls, %g allowed", extra, allowed)
	}
}

// TestChangingFleetStaysWithinTheLimit guards against extra calls over the limit while the VMs' shares of the slack
// change: VMs start, leave, and are cut off from each other for less than a window. One change ends a window before the
// next begins: the slack that is left unused covers no more of them.
func TestChangingFleetStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &changingFleet{clock: newClock()}
		for range rapid.IntRange(1, 8).Draw(t, "vms") {
			f.join()
		}
		var nextChange time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass")) * time.Millisecond)
			i := rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")
			if f.lone == nil && f.clock.now.After(nextChange) {
				nextChange = f.clock.now.Add(fleetLimit.Window)
				switch change := rapid.IntRange(0, 60).Draw(t, "change"); {
				case change < 10:
					f.join()
				case change < 20 && len(f.vms) > 1:
					f.leave(i)
					i = 0
				case change < 30 && len(f.vms) > 1:
					lasts := time.Duration(rapid.IntRange(0, 9000).Draw(t, "cut")) * time.Millisecond
					f.cutOff(i, lasts)
					nextChange = nextChange.Add(lasts)
				default:
					nextChange = f.clock.now
				}
			}
			f.work(i, rapid.IntRange(0, 20).Draw(t, "requests"), rapid.IntRange(0, 20).Draw(t, "extra"))
			f.check(t)
		}
	})
}

// TestShareThatRisesCountsAWindowLater guards against slack that is used twice: once by the VM that leaves, and again
// by those that take over its share.
func TestShareThatRisesCountsAWindowLater(t *testing.T) {
	is := is.New(t)
	c := newClock()
	b := New(fleetLimit, c.read)
	c.advance(10 * time.Second) // past the first window
	b.SetShare(evenly(4))
	c.advance(time.Second)
	taken := func() (n int) {
		for b.Take("x", Needed) {
			n++
		}
		return n
	}
	b.SetShare(evenly(1))
	is.Equal(taken(), 9) // 0.7 * 52 / 4
	c.advance(10*time.Second + 200*time.Millisecond)
	b.SetShare(evenly(1))
	is.Equal(taken(), 36)
}
