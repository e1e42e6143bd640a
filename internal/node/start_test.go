package node_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A VM whose readiness address is in use must end with the error. It must not continue partly started, never
// ready and without reacting to a stop.
func TestAddressInUseEndsTheProcess(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	v := c.prepare(true)
	listener, err := net.Listen("tcp", v.settings.ReadinessAddress)
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	c.run(v)
	select {
	case err := <-v.ended:
		is.True(err != nil)
		v.ended <- nil
	case <-time.After(5 * time.Second):
		t.Fatal("still runs after 5 s without its readiness address")
	}
}
