package syncd

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPauseIsHandledBeforeAnyCallerContinues blocks the first caller that detects a pause while it
// handles the pause. A second caller that arrives meanwhile, such as a stream that woke at the same
// moment, must not see the sync as caught up.
func TestPauseIsHandledBeforeAnyCallerContinues(t *testing.T) {
	is := is.New(t)
	m := unstartedFleet(t).add("vm-1", "az-1").manager
	m.spread.SetCaughtUp(m.spread.Pauses())
	is.True(m.spread.CaughtUp())
	woke := time.Now().Add(time.Minute)
	m.pause.Observe(woke)
	m.processes.mu.Lock() // the handling of the pause blocks here
	caughtUp := make(chan bool, 2)
	for range 2 {
		go func() {
			m.checkPause(woke)
			caughtUp <- m.spread.CaughtUp()
		}()
	}
	early := false
	select {
	case early = <-caughtUp:
		caughtUp <- early
	case <-time.After(100 * time.Millisecond):
	}
	m.processes.mu.Unlock()
	is.True(!early) // a caller continued while the sync still counted as caught up
	is.True(!<-caughtUp)
	is.True(!<-caughtUp)
}

// TestAPauseAfterAViewIsDatedIsNoticed guards against an old view with a new date: the process is paused
// right after it read the time that the view is to carry. The check after it sees the pause, and nothing
// is sent.
func TestAPauseAfterAViewIsDatedIsNoticed(t *testing.T) {
	is := is.New(t)
	m := unstartedFleet(t).add("vm-1", "az-1").manager
	m.spread.SetCaughtUp(m.spread.Pauses())
	m.cfg.BootTime = func() time.Duration {
		m.pause.Observe(time.Now().Add(time.Minute))
		return 0
	}
	is.NoErr((&feedServer{m: m}).sendIfCaughtUp(nil)) // a send would panic for want of a stream
	is.True(!m.spread.CaughtUp())
}
