package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// BenchmarkSearch measures a search of three shards through the whole program and stand-ins of the leaves on
// loopback. With -cpuprofile it shows the cost of a call to a leaf.
func BenchmarkSearch(b *testing.B) {
	c := newCluster(b)
	for _, l := range c.leaves {
		body := []byte(fmt.Sprintf("%-160s", l.ID))
		l.SetScript(func(int, *http.Request) hosted.Reply { return hosted.Reply{Body: body} })
	}
	v := c.start(true)
	within(b, 3*time.Second, "ready", v.ready)
	time.Sleep(time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		status, _, _, err := v.get(http.MethodGet, "/s/1", fmt.Sprint(i))
		if err != nil || status != http.StatusOK {
			b.Fatal(status, err)
		}
	}
}
