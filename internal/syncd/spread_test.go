package syncd

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestNewVersionReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 64, 4)
		f.mu.Lock()
		f.loss = 0.05
		f.mu.Unlock()
		for v := uint64(2); v <= 6; v++ {
			f.publish(v)
			worst := f.waitFor(3*time.Second, fmt.Sprintf("version %d everywhere", v), f.allAt(v))
			t.Logf("version %d: worst VM after %s", v, worst)
			time.Sleep(10 * time.Second)
		}
		is.True(f.allAt(6)())
	})
}
