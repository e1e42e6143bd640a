package node_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// spoiledSuffix ends the ids of the requests whose first answer has a wrong byte.
const spoiledSuffix = "0"

// spoil makes the leaves answer the first run of a request with spoiledSuffix with the status and with to in place of from in
// the head.
func spoil(leaves []*hosted.Leaf, status int, from, to string) {
	var seen sync.Map
	for _, l := range leaves {
		l.SetScript(func(_ int, r *http.Request) hosted.Reply {
			id := hosted.RequestID(r)
			if _, again := seen.LoadOrStore(id, true); again || !strings.HasSuffix(id, spoiledSuffix) {
				return hosted.Reply{Body: []byte("whole")}
			}
			reply := hosted.Reply{Status: status, Body: []byte("spoiled")}
			reply.Raw = bytes.Replace(l.Answer(id, reply), []byte(from), []byte(to), 1)
			return reply
		})
	}
}

// Leaves spoil a byte of some answers. No caller gets a success without the signature of a leaf, nor a promise that a request has
// not run that a leaf has run, and idempotent requests are answered by another leaf.
func TestSpoiledAnswersAreNotPassedOn(t *testing.T) {
	for name, tt := range map[string]struct {
		status   int
		from, to string
	}{
		"signature":       {http.StatusOK, "Server-Stamp", "Server-Stbmp"},
		"failure's digit": {http.StatusInternalServerError, "500 ", "503 "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			spoil([]*hosted.Leaf{c.leaves["x-a"], c.leaves["x-b"]}, tt.status, tt.from, tt.to)
			c.configureKinds()
			v := c.start(true)
			within(t, 3*time.Second, "ready", v.ready)
			time.Sleep(1500 * time.Millisecond) // a VM makes no extra calls until it knows the size of its fleet
			served := func(method, path, id string) bool {
				status, header, body, err := v.get(method, path, id)
				is.NoErr(err)
				if status == http.StatusOK {
					is.True(strings.HasSuffix(header.Get("Server-Stamp"), "."+id))
					is.Equal(body, "whole")
					return true
				}
				is.Equal(status, http.StatusBadGateway)
				return false
			}
			const requests = 50
			idempotent, orders := 0, 0
			for i := range requests {
				if served(http.MethodGet, "/i/1", fmt.Sprintf("i%d", i)) {
					idempotent++
				}
				if served(http.MethodPost, "/x/1", fmt.Sprintf("o%d", i)) {
					orders++
				}
			}
			is.Equal(idempotent, requests)
			is.Equal(orders, requests-requests/10)
		})
	}
}

// configureKinds puts a configuration in force with the routes /x/ for orders and /i/ for idempotent requests, to service x.
func (c *cluster) configureKinds() {
	c.version++
	route := hosted.Route{Name: "x", Host: "h", Prefix: "/x/", Timeout: 3 * time.Second, TargetLatency: 600 * time.Millisecond, Service: "x", Priority: 2, MaxAttempts: 2}
	idempotent := route
	idempotent.Name, idempotent.Prefix, idempotent.Idempotent = "i", "/i/", true
	c.store.Configure(hosted.Config{Version: c.version, Services: []string{"x"}, Connections: 30, Routes: []hosted.Route{route, idempotent}})
}

// startBesideBadLeaf runs a VM with the routes of configureKinds, one of whose two leaves gives the bad reply to everything, the other to
// orders only. The VM is ready to make extra calls.
func (c *cluster) startBesideBadLeaf(bad hosted.Script) *vm {
	c.t.Helper()
	c.leaves["x-a"].SetScript(bad)
	c.leaves["x-b"].SetScript(func(n int, r *http.Request) hosted.Reply {
		if r.Method == http.MethodPost {
			return bad(n, r)
		}
		return hosted.Reply{Body: []byte("whole")}
	})
	c.configureKinds()
	v := c.start(true)
	within(c.t, 3*time.Second, "ready", v.ready)
	time.Sleep(1500 * time.Millisecond) // a VM makes no extra calls until it knows the size of its fleet
	return v
}
