package node_test

import (
	"net/http"
	"testing"
	"time"

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
