package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// Histograms hold microseconds from 1 µs to 2 minutes with three significant digits.
const (
	histogramLow     = 1
	histogramHigh    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	histogramDivisor = time.Microsecond
)

// tally holds the counts and latencies of one kind in one phase.
type tally struct {
	// answered measures from the intended start to the final answer, refused from each send to its
	// refusal, lost from the intended start to a failed or unknown outcome.
	answered, refused, lost *hdrhistogram.Histogram
	outcomes                map[string]uint64
	requests, sends, whole  uint64
	coverage                float64
	shards                  uint64
	replayed, untyped       uint64
	mismatches, dropped     uint64
}

func newTally() *tally {
	return &tally{
		answered: newHistogram(), refused: newHistogram(), lost: newHistogram(),
		outcomes: make(map[string]uint64),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

// Recorder records replies by phase and kind. It is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	// tallies are indexed by phase and mix, and guarded by mu.
	tallies [][]*tally
}

// NewRecorder returns an empty recorder for the given numbers of phases and mix entries.
func NewRecorder(phases, mix int) *Recorder {
	r := &Recorder{tallies: make([][]*tally, phases)}
	for p := range r.tallies {
		for range mix {
			r.tallies[p] = append(r.tallies[p], newTally())
		}
	}
	return r
}

// Sent records the reply to one send, initial or resend. elapsed counts from that send for resends and from the
// intended start for the first send; it is the latency of a refusal.
func (r *Recorder) Sent(a Arrival, reply Reply, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[a.Phase][a.Mix]
	t.sends++
	if reply.Untyped {
		t.untyped++
	}
	if reply.Mismatch {
		t.mismatches++
	}
	if reply.Replayed {
		t.replayed++
	}
	if reply.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		record(t.refused, elapsed)
	}
}

// Ended records the final reply to a request. elapsed counts from the intended start.
func (r *Recorder) Ended(a Arrival, reply Reply, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[a.Phase][a.Mix]
	t.requests++
	t.outcomes[outcomeName(reply)]++
	switch reply.Kind {
	case pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE, pb.OutcomeKind_OUTCOME_KIND_ANSWERED_PARTIAL:
		record(t.answered, elapsed)
		t.coverage += reply.Coverage
		t.shards += uint64(reply.ShardsTotal)
		if reply.Kind == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE {
			t.whole++
		}
	case pb.OutcomeKind_OUTCOME_KIND_NOT_RUN:
	default:
		record(t.lost, elapsed)
	}
}

// Dropped records an arrival that wasn't sent because the limit of requests in flight was reached.
func (r *Recorder) Dropped(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tallies[a.Phase][a.Mix].dropped++
}

// outcomeName returns the outcome with its reason if it has one, such as "not_run/overload".
func outcomeName(r Reply) string {
	name := outcome.KindName(r.Kind)
	if r.Reason != pb.Reason_REASON_UNSPECIFIED {
		name += "/" + outcome.ReasonName(r.Reason)
	}
	return name
}

// record adds d to the histogram. It clamps d to the histogram's range, so that no value is dropped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := int64(d / histogramDivisor)
	_ = h.RecordValue(min(max(v, histogramLow), histogramHigh))
}
