package node_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// A leaf answers with a status that HTTP does not have. Idempotent requests are answered by the other leaf, and no caller gets the
// status: an order of which it is the answer gets a failure of the VM's own, without the leaf's signature.
func TestInvalidStatusesReachNoCaller(t *testing.T) {
	for _, invalid := range []string{"000", "999"} {
		t.Run(invalid, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			v := c.startBesideBadLeaf(func(_ int, r *http.Request) hosted.Reply {
				id := hosted.RequestID(r)
				return hosted.Reply{Raw: fmt.Appendf(nil, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Stamp: x-a.%s\r\nContent-Length: 0\r\n\r\n", invalid, id, id)}
			})
			for i := range 5 {
				status, _, body, err := v.get(http.MethodGet, "/i/1", fmt.Sprintf("i%d", i))
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				is.Equal(body, "whole")
				status, header, _, err := v.get(http.MethodPost, "/x/1", fmt.Sprintf("o%d", i))
				is.NoErr(err)
				is.True(status == http.StatusBadGateway || i > 0 && status == http.StatusServiceUnavailable) // later ones may not be sent
				is.Equal(header.Get("Server-Stamp"), "")
			}
		})
	}
}
