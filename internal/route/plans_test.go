package route

import (
	"testing"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

func TestCandidatesFollowTheView(t *testing.T) {
	is := is.New(t)
	var p candidateCache
	svc := testService()
	first := &feed.View{Zone: "z1", VMs: []*pb.Vm{vm("a", "z1", live, isReady)}}
	second := &feed.View{Zone: "z1", VMs: []*pb.Vm{vm("b", "z1", live, isReady)}}
	is.Equal(p.of(first, svc)[0].VM, "a")
	is.Equal(&p.of(first, svc)[0], &p.of(first, svc)[0]) // cached for the view
	is.Equal(p.of(second, svc)[0].VM, "b")
	is.Equal(p.of(first, svc)[0].VM, "a") // for a request that began with the older view
}
