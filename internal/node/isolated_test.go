package node_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// VMs that start while those that the settings name are down can't find each other. Each took the whole allowance of extra
// calls of the fleet, so that leaves that refuse requests got more than the deployment allows.
func TestVMsThatFindNoOtherKeepToTheSlackOfTheFleet(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	var vms []*vm
	for range 3 {
		v := c.prepare(true)
		v.settings.Seeds = []string{net.JoinHostPort(ownIP(), closedPort)}
		v.settings.RetryBudget.Window = time.Second
		c.run(v)
		vms = append(vms, v)
	}
	for _, v := range vms {
		within(t, 3*time.Second, "ready", v.ready)
	}
	time.Sleep(4 * time.Second) // the fleet counts as settled, and the first windows are over
	total := 0.0
	for _, v := range vms {
		status, _, _, err := v.get(http.MethodPost, "/x/1", "r")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		left, err := strconv.ParseFloat(v.metric(`burdock_extra_calls_left{service="x"}`), 64)
		is.NoErr(err)
		total += left
	}
	t.Logf("%.1f extra calls are left to all together", total)
	is.True(total <= vms[0].settings.RetryBudget.Slack)
}
