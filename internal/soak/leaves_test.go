package soak

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// The soak took health checks, which burdock-node sends to leaves whose entry is gone, for requests that nobody asked for (seed
// 63041). A request to their path that has an ID is none, and neither is one without an ID to another path.
func TestRunsLeaveOutHealthChecks(t *testing.T) {
	is := is.New(t)
	leaf := hosted.NewLeaf("x", 1, func(int, *http.Request) hosted.Reply { return hosted.Reply{} })
	defer leaf.Close()
	send := func(path, id string) {
		c, err := net.Dial("tcp", leaf.Address())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		r := hosted.Request{ID: id, Method: http.MethodGet, Host: "h", Target: path, Timeout: time.Second}
		is.NoErr(r.Write(c))
		_, err = hosted.ReadAnswer(bufio.NewReader(c))
		is.NoErr(err)
	}
	send(hosted.HealthPath, "")
	send(hosted.HealthPath, "a")
	send("/v/b", "")
	started := startedLeaves{leaves: []startedLeaf{{leaf: leaf, service: "v0"}}}
	runs := started.runs()
	is.Equal(len(runs), 2)
	is.Equal(runs[0].ID, "a")
	is.Equal(runs[1].Target, "/v/b")
}
