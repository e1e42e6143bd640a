package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// all returns a condition that holds once all VMs send the requests of /x/ to the service whose body is given.
func (c *cluster) all(body string) func() bool {
	return func() bool {
		for _, v := range c.vms {
			if _, _, got, err := v.get(http.MethodPost, "/x/1", "r"); err != nil || got != body {
				return false
			}
		}
		return true
	}
}

// The store came back from a copy that lacked its latest changes and counted the same revisions again. All VMs stayed at
// the version that they knew: they took the versions after it for changes that they had (incident inc1).
func TestVersionAtARevisionThatIsGivenOutAgain(t *testing.T) {
	c := newCluster(t)
	first := c.start(true)
	within(t, 3*time.Second, "first ready", first.ready)
	refused := c.start(false)
	within(t, 3*time.Second, "the refused one ready", refused.ready)
	before := c.store.Copy()
	c.configure("x")
	c.configure("later")
	within(t, first.settings.ConfigApplyBound, "the version that is lost later", c.all("later           "))
	c.store.SetFault(hosted.Fault{Status: http.StatusServiceUnavailable})
	time.Sleep(300 * time.Millisecond)
	c.store.Restore(before)
	c.store.SetFault(hosted.Fault{})
	c.version-- // the operator writes the newest version again
	c.configure("later")
	c.configure("x")
	within(t, first.settings.ConfigApplyBound, "the version after it", c.all("x               "))
}

// The store came back from a copy and nothing was written again yet. VMs that had the version that it lacks went back to
// the copy's, or one that started then began with it.
func TestVMStartedWhileTheStoreHoldsTheCopy(t *testing.T) {
	c := newCluster(t)
	first := c.start(true)
	within(t, 3*time.Second, "ready", first.ready)
	before := c.store.Copy()
	c.configure("later")
	within(t, first.settings.ConfigApplyBound, "the version that the copy lacks", c.all("later           "))
	c.store.Restore(before)
	time.Sleep(time.Second)
	started := c.start(true)
	within(t, 3*time.Second, "the started one ready", started.ready)
	within(t, time.Second, "both use it", c.all("later           "))
	time.Sleep(time.Second)
	within(t, 10*time.Millisecond, "both still use it", c.all("later           "))
}

// Over a return from a copy every search is answered in full, no VM is unready, and the store is asked a few times only.
func TestSearchesOverReturnsFromACopy(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	for range 2 {
		within(t, 3*time.Second, "ready", c.start(true).ready)
	}
	time.Sleep(time.Second)
	before := c.store.Copy()
	c.store.RemoveLeaf(c.leaves["s0-a"])
	c.store.PutLeaf(c.leaves["s0-a"], "s0", "z", "ready", c.leaves["s0-a"].Address())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, v := range c.vms {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				status, header, _, err := v.get(http.MethodGet, "/s/1", fmt.Sprintf("s%d-%d", i, n))
				if err != nil || status != http.StatusOK || header.Get("Missing-Parts") != "0" || !v.ready() {
					t.Errorf("VM %d: status %d, %s missing, ready %v, error %v", i, status, header.Get("Missing-Parts"), v.ready(), err)
				}
			}
		})
	}
	calls := c.store.Calls("/-/kv-range") + c.store.Calls("/-/kv-watch")
	for range 2 {
		c.store.SetFault(hosted.Fault{Status: http.StatusServiceUnavailable})
		time.Sleep(300 * time.Millisecond)
		c.store.Restore(before)
		c.store.SetFault(hosted.Fault{})
		time.Sleep(1500 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	is.True(c.store.Calls("/-/kv-range")+c.store.Calls("/-/kv-watch")-calls < 30)
}

// A store that names no era, or text that is no number, may come back from a copy as well: the VMs serve on with what they
// know, and don't ask it without a pause.
func TestReturnFromACopyWithoutAnEra(t *testing.T) {
	for _, header := range []string{"", "seven"} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.store.SetEraHeader(header)
			v := c.start(true)
			within(t, 3*time.Second, "ready", v.ready)
			before := c.store.Copy()
			c.configure("later")
			within(t, v.settings.ConfigApplyBound, "the change", c.all("later           "))
			calls := c.store.Calls("/-/kv-range") + c.store.Calls("/-/kv-watch")
			c.store.Restore(before)
			time.Sleep(2 * time.Second)
			within(t, 10*time.Millisecond, "serves on", c.all("later           "))
			is.True(v.ready())
			is.True(c.store.Calls("/-/kv-range")+c.store.Calls("/-/kv-watch")-calls < 20)
		})
	}
}
