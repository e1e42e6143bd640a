package quarantine

import (
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// Status says how a request may run.
type Status int

// The standings of a request, from the freest on.
const (
	// Proven: a leaf has answered it; it may run on all shards at once.
	Proven Status = iota
	// Unproven: no leaf has answered it yet, and by the settings it may run on all shards at once.
	Unproven
	// FirstRun: it runs on one leaf first.
	FirstRun
	// Suspect: it was in flight at one crash; it runs on one leaf first, beside no other unproven
	// request, and is not hedged.
	Suspect
	// Doubted: it was in flight at two crashes just now; evidence that another request caused both, or word that a
	// leaf has answered it, may still be on its way, and is waited for: known texts that had been in flight beside
	// crashing ones were refused for 0.3 s otherwise, though they would have been answered.
	Doubted
	// Quarantined: it is refused.
	Quarantined
)

var statusNames = [...]string{"proven", "unproven", "first_run", "suspect", "doubted", "quarantined"}

// String returns the name used in metrics.
func (s Status) String() string { return statusNames[s] }

// StateFunc returns what is known of a leaf; upstream.Caller has it.
type StateFunc func(leaf string) (upstream.State, bool)

// Registry holds the evidence of one gather and what it has heard of others'. It is safe for
// concurrent use.
type Registry struct {
	settings  Settings
	reporter  feed.Reporter
	leafState StateFunc
	clock     func() time.Time
	metrics   *Metrics

	mu sync.Mutex
	// suspects by digest, proven by Proof, answered by digest, unsure and the leaves of the gate are guarded by mu.
	suspects map[uint64]*suspect
	proven   *answeredSet
	answered *answeredSet
	// unresolved holds losses of connections of which it isn't known yet whether the leaf crashed.
	unresolved []loss
	leaves     map[string]*leaf
}

// loss is a connection lost with an unproven request in flight.
type loss struct {
	digest uint64
	crash
	notedAt time.Time
}

// New returns a registry without evidence.
func New(s Settings, reporter feed.Reporter, states StateFunc, clock func() time.Time, m *Metrics) *Registry {
	return &Registry{
		settings: s, reporter: reporter, leafState: states, clock: clock, metrics: m,
		suspects: make(map[uint64]*suspect), proven: newAnsweredSet(s.Remembered), answered: newAnsweredSet(s.Remembered),
		leaves: make(map[string]*leaf),
	}
}

// Status says how the request may run now. For a quarantined one it also says when to come back;
// asking renews its evidence.
func (r *Registry) Status(k Key) (Status, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	s := r.suspects[k.Digest]
	if s != nil && r.expired(s, now) {
		delete(r.suspects, k.Digest)
		s = nil
	}
	answer := r.proven.get(k.FullDigest)
	var crashes []crash
	if s != nil {
		crashes = s.crashesAfter(answer)
		switch r.assess(s, crashes, now) {
		case Quarantined:
			r.renew(s, now)
			return Quarantined, r.settings.Age.D()
		case Doubted:
			return Doubted, doubtPeriod
		}
	}
	switch {
	case len(crashes) > 0:
		return Suspect, 0
	case answer != nil && !answer.connectionLost:
		return Proven, 0
	case r.settings.FirstRun == ModeAlways, r.settings.FirstRun == ModeEvidence && len(r.suspects) > 0:
		return FirstRun, 0
	}
	return Unproven, 0
}

// Answered tells whether a leaf has answered the request, whatever was lost with it since: this very one here,
// and the content, for any snapshot or number of hits, here or by the word of another VM.
func (r *Registry) Answered(k Key) (same, content bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proven.contains(k.FullDigest), r.contentAnswered(k.Digest)
}

// contentAnswered tells whether a leaf has answered the content, for any snapshot or number of hits, here or by the word of
// another VM.
func (r *Registry) contentAnswered(digest uint64) bool { return r.answered.contains(digest) }

func (r *Registry) expired(s *suspect, now time.Time) bool {
	return now.Sub(s.newestEvidenceAt()) > r.settings.Age.D()
}

// renew makes the evidence young again, here at once and at the other VMs now and then, so that a
// request that keeps coming stays refused.
func (r *Registry) renew(s *suspect, now time.Time) {
	for i := range s.crashes {
		s.crashes[i].renewedAt = now
	}
	if now.Sub(s.lastRenewalReportedAt) < r.settings.Age.D()/renewalReportsPerAge {
		return
	}
	s.lastRenewalReportedAt = now
	for _, c := range s.crashes {
		r.reportCrash(s.digest, c, now)
	}
}

// renewalReportsPerAge is how often in the age of evidence it is told again.
const renewalReportsPerAge = 4

func (r *Registry) reportCrash(digest uint64, c crash, now time.Time) {
	answered := r.contentAnswered(digest)
	r.reporter.ReportCrash(crashMessage(digest, c, answered, now))
	if s := r.suspects[digest]; s != nil {
		s.markShared(c.crashID, answered)
	}
}

// reportAnswer tells the other VMs, once for each crash that they have, that a leaf has answered the request: one that
// is new to them would be refused there for crashes that another one caused.
func (r *Registry) reportAnswer(s *suspect, now time.Time) {
	if !r.contentAnswered(s.digest) {
		return
	}
	for _, c := range s.crashes {
		if c.shared && !c.answerReported {
			r.reportCrash(s.digest, c, now)
		}
	}
}

// CrashedLeaves returns the leaves that crashed with the request in flight.
func (r *Registry) CrashedLeaves(digest uint64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var leaves []string
	if s := r.suspects[digest]; s != nil {
		for _, c := range s.crashes {
			leaves = append(leaves, c.leaf)
		}
	}
	return leaves
}

// WithholdPeriod returns how long a lost leaf takes no first run.
func (r *Registry) WithholdPeriod() time.Duration { return r.settings.Hold.D() }

// RecordAnswer notes that a leaf has answered the request and so outlived it.
func (r *Registry) RecordAnswer(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.proven.add(k.FullDigest, now)
	r.answered.add(k.Digest, now)
	if s := r.suspects[k.Digest]; s != nil {
		r.reportAnswer(s, now)
	}
}

// RecordProvenLoss notes that a proven request was in flight when a connection was lost. That is no
// evidence against it, but its next run is on one leaf first.
func (r *Registry) RecordProvenLoss(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proven.markConnectionLost(k.FullDigest)
}

// RecordUnprovenLoss notes that a request which no leaf has answered was in flight when the connection to
// a leaf was lost. It counts against the request at once; where the leaf turns out to have lived on
// it is taken back.
func (r *Registry) RecordUnprovenLoss(digest uint64, leaf string, incarnation uint64, alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.recordLoss(leaf, incarnation, now)
	r.addLoss(digest, crash{crashID: crashID{leaf, incarnation}, renewedAt: now, alone: alone}, now)
}

// addLoss counts a loss against a request until it is known whether the leaf crashed.
func (r *Registry) addLoss(digest uint64, c crash, now time.Time) {
	if !r.suspectFor(digest, now).addCrash(c, now) {
		return
	}
	r.metrics.evidence.WithLabelValues("own").Inc()
	r.unresolved = append(r.unresolved, loss{digest: digest, crash: c, notedAt: now})
	r.resolveLosses(now)
}

// RecordConnectionLoss notes that a connection to the leaf broke.
func (r *Registry) RecordConnectionLoss(leaf string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLoss(leaf, incarnation, r.clock())
}

// suspectFor returns the entry of a digest, made where there is none.
func (r *Registry) suspectFor(digest uint64, now time.Time) *suspect {
	s := r.suspects[digest]
	if s != nil && !r.expired(s, now) {
		return s
	}
	if len(r.suspects) >= maxSuspects {
		r.evictOldestSuspect()
	}
	s = &suspect{digest: digest}
	r.suspects[digest] = s
	return s
}

func (r *Registry) evictOldestSuspect() {
	var oldest *suspect
	for _, s := range r.suspects {
		if oldest == nil || s.newestEvidenceAt().Before(oldest.newestEvidenceAt()) {
			oldest = s
		}
	}
	if oldest != nil {
		delete(r.suspects, oldest.digest)
	}
}

func crashMessage(digest uint64, c crash, answered bool, now time.Time) *pb.Crash {
	return &pb.Crash{
		RequestDigest: digest, Leaf: c.leaf, Incarnation: c.incarnation,
		Age: durationpb.New(now.Sub(c.renewedAt)), Alone: c.alone, Answered: answered,
	}
}
