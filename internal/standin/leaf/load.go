package leaf

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// loadReport tells the load as it was at least lag ago, in steps of lag.
type loadReport struct {
	lag  time.Duration
	size int

	mu sync.Mutex
	// told is reported now; next was sampled at sampled and is told lag later. Guarded by mu.
	told, next *pb.LeafLoad
	sampled    time.Time
}

func newLoadReport(lag time.Duration, size int) *loadReport {
	return &loadReport{lag: lag, size: size, told: &pb.LeafLoad{}, next: &pb.LeafLoad{}}
}

// report returns the lagging load; the slots are sampled where lag has passed. The message is
// shared and must not be changed.
func (r *loadReport) report(now time.Time, s *slots) *pb.LeafLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.sampled) < r.lag {
		return r.told
	}
	running, queued := s.load()
	r.told = r.next
	r.next = &pb.LeafLoad{
		InFlight: uint32(running), Queued: uint32(queued),
		Utilisation: float64(running) / float64(r.size),
	}
	r.sampled = now
	return r.told
}
