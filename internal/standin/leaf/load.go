package leaf

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// loadReport reports the load with a delay: each reported load is at least minAge old and changes at most
// once per minAge. It is safe for concurrent use.
type loadReport struct {
	minAge time.Duration
	slots  int

	mu sync.Mutex
	// current is reported now. next was sampled at sampledAt and is reported minAge later. All three
	// fields are guarded by mu.
	current, next *pb.LeafLoad
	sampledAt     time.Time
}

func newLoadReport(lag time.Duration, size int) *loadReport {
	return &loadReport{minAge: lag, slots: size, current: &pb.LeafLoad{}, next: &pb.LeafLoad{}}
}

// report returns the delayed load. It samples the slots if minAge has passed since the last sample. The
// message is shared and must not be changed.
func (r *loadReport) report(now time.Time, s *slots) *pb.LeafLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.sampledAt) < r.minAge {
		return r.current
	}
	running, queued := s.load()
	r.current = r.next
	r.next = &pb.LeafLoad{
		InFlight: uint32(running), Queued: uint32(queued),
		Utilisation: float64(running) / float64(r.slots),
	}
	r.sampledAt = now
	return r.current
}
