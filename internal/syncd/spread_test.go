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

// TestBundleInForceInTimeHoweverLongItsCheckTakes guards against a bundle that comes into force too
// late. The check takes most of a second on busy processors; here it takes 300 ms, 900 ms and 1.4 s. A
// bundle must wait for it only once: VMs forward a bundle before they check it, so that the check times
// along its path don't add up.
func TestBundleInForceInTimeHoweverLongItsCheckTakes(t *testing.T) {
	const read = 200 * time.Millisecond
	for _, vms := range []int{6, 64, 128} {
		for _, check := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d VMs, %s", vms, check), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, vms, 2+vms/32)
					f.setDelays(check, read)
					f.publish(2)
					t.Logf("everywhere after %s", f.waitFor(3*time.Second, "version 2 everywhere", f.allAt(2)))
				})
			})
		}
	}
}

// maxControlBytesPerSecond is the number of bytes per second that a VM may send and receive in total
// for control traffic.
const maxControlBytesPerSecond = 4 << 10

func TestBytesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const vms = 64
		f := newFleet(t, vms, 4)
		measure := func(what string, d time.Duration) float64 {
			f.mu.Lock()
			bytes, packets := f.bytes, f.packets
			f.mu.Unlock()
			time.Sleep(d)
			f.mu.Lock()
			defer f.mu.Unlock()
			// Each byte counts twice, as sent by one VM and received by another. That overstates the
			// traffic while a zone is cut off, when packets across the cut are sent but not received.
			perVM := 2 * float64(f.bytes-bytes) / vms / d.Seconds()
			t.Logf("%s: %.0f bytes and %.1f packets a second a VM, sent and received", what, perVM,
				2*float64(f.packets-packets)/vms/d.Seconds())
			return perVM
		}
		measure("start", 30*time.Second) // logged only
		is.True(measure("calm", 30*time.Second) < maxControlBytesPerSecond)
		f.publish(2)
		is.True(measure("one new version a minute", time.Minute) < maxControlBytesPerSecond)
		f.cut("az-1")
		measure("a zone cut off", 30*time.Second) // logged only
		f.cut("")
		measure("healed", 30*time.Second) // logged only
		is.True(measure("calm again", 30*time.Second) < maxControlBytesPerSecond)
	})
}
