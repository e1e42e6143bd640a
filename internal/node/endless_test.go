package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// A leaf answers with bytes that never end, and another one does so to orders. Idempotent requests are answered by the other
// leaf, and an order gets its failure at once, where it waited for its deadline while the memory of the VM filled up.
func TestEndlessAnswersAreNotWaitedFor(t *testing.T) {
	replies := hosted.EndlessReplies("any")
	for _, name := range []string{"header", "chunks"} {
		reply := replies[name]
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			v := c.startBesideBadLeaf(func(int, *http.Request) hosted.Reply { return reply })
			for i := range 5 {
				status, _, _, err := v.get(http.MethodGet, "/i/1", fmt.Sprintf("i%d", i))
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				start := time.Now()
				status, _, _, err = v.get(http.MethodPost, "/x/1", fmt.Sprintf("o%d", i))
				is.NoErr(err)
				is.True(status == http.StatusBadGateway || i > 0 && status == http.StatusServiceUnavailable) // later ones may not be sent
				is.True(time.Since(start) < callerTimeout)
			}
			is.True(c.leaves["x-a"].EndlessBytes() > 0)
		})
	}
}
