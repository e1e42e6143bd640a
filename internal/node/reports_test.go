package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// reportedRunning returns how many requests run at the leaf by the report that the VM has from the other one, or -1.
func (v *vm) reportedRunning(leaf *hosted.Leaf, from *vm) int {
	resp, err := http.Get("http://" + v.metrics + "/dump")
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	var dump struct {
		Reports struct {
			Leaves map[string]struct {
				Running int
				From    string
			}
		} `json:"load reports"`
	}
	if json.NewDecoder(resp.Body).Decode(&dump) != nil {
		return -1
	}
	for id, r := range dump.Reports.Leaves {
		if strings.HasPrefix(id, leaf.ID) && r.From == from.settings.PeersAddress {
			return r.Running
		}
	}
	return -1
}

// Guards against a VM that has to find out by its own requests which leaves are full: another VM found x-a full, so
// that the single requests of this one all go to x-b, the first one included.
func TestSingleRequestsAvoidLeafThatAnotherVMFoundFull(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	full := c.leaves["x-a"]
	full.SetScript(func(_ int, r *http.Request) hosted.Reply {
		if r.URL.Path == "/hold" {
			return hosted.Reply{Delay: 4 * time.Second}
		}
		return hosted.Reply{Delay: 5 * time.Millisecond, Body: []byte("x")}
	})
	hub, other := c.startSized(300), c.startSized(200)
	within(t, 5*time.Second, "both ready", func() bool { return hub.ready() && other.ready() })
	within(t, 5*time.Second, "VMs know each other", func() bool {
		return hub.metric("burdock_peers_live") == "1" && other.metric("burdock_peers_live") == "1"
	})
	is.Equal(other.metric(`burdock_load_exchanges_total{result="answered"}`), "") // nothing is busy
	for range 4 {
		go func() { _, _ = http.Get("http://" + full.Address() + "/hold") }()
	}
	within(t, time.Second, "x-a is full", func() bool { return len(full.Requests()) == 4 })
	within(t, 3*time.Second, "the hub knows that x-a is full", func() bool {
		var requests sync.WaitGroup
		for range 6 { // more than x-b has slots
			requests.Go(func() { _, _, _, _ = other.get(http.MethodPost, "/x/1", "other") })
		}
		requests.Wait()
		return hub.reportedRunning(full, other) == 4
	})
	for i := range 10 {
		status, _, _, err := hub.get(http.MethodPost, "/x/1", fmt.Sprint("hub", i))
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	for _, r := range full.Requests() {
		is.True(!strings.HasPrefix(r.ID, "hub"))
	}
}
