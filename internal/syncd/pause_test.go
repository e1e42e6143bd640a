package syncd

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAPauseIsFollowedBeforeAnyoneGoesOn holds the first caller that notices a pause inside the
// following of it. Another that comes meanwhile, as a stream does that woke at the same moment, must
// not find the sync caught up.
func TestAPauseIsFollowedBeforeAnyoneGoesOn(t *testing.T) {
	is := is.New(t)
	m := unstartedFleet(t).add("vm-1", "az-1").manager
	m.spread.SetCaughtUp(m.spread.Pauses())
	is.True(m.spread.CaughtUp())
	woke := time.Now().Add(time.Minute)
	m.pause.Observe(woke)
	m.processes.mu.Lock() // the following of the pause stops here
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
	is.True(!early) // a caller went on while the sync still counted as caught up
	is.True(!<-caughtUp)
	is.True(!<-caughtUp)
}
