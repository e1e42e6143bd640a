package node_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A VM whose readiness address is taken ends with the error, and doesn't go on half started: never
// ready, and deaf to its stop.
func TestAddressInUseEndsTheProcess(t *testing.T) {
	is := is.New(t)
	s := newCluster(t)
	v := s.prepare(true)
	listener, err := net.Listen("tcp", v.settings.ReadinessAddress)
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	s.run(v)
	select {
	case err := <-v.ended:
		is.True(err != nil)
		v.ended <- nil
	case <-time.After(5 * time.Second):
		t.Fatal("goes on without its readiness address")
	}
}
