package quarantine

import (
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// Status says how a request may run, from the least to the most restricted.
type Status int

// The statuses of a request.
const (
	// Proven means that a leaf has answered the request. It may run on all shards at once.
	Proven Status = iota
	// Unproven means that no leaf has answered the request yet and that the settings allow it to run on
	// all shards at once.
	Unproven
	// FirstRun means that the request runs on one leaf first.
	FirstRun
	// Suspect means that the request was in flight at a crash and is not refused for it. It runs on one
	// leaf first, without another unproven request beside it, and is not hedged.
	Suspect
	// Doubted means that the request has just reached the crashes at which it is refused: two, or three
	// if a leaf has answered it. The refusal waits for evidence that another request caused them and for
	// a report that a leaf has answered this one. Without the wait, known texts in flight beside crashing
	// ones were refused for 0.3 s although they would have been answered.
	Doubted
	// Quarantined means that the request is refused.
	Quarantined
)

var statusNames = [...]string{"proven", "unproven", "first_run", "suspect", "doubted", "quarantined"}

// String returns the name used in metrics and dumps.
func (s Status) String() string { return statusNames[s] }

// StateFunc returns the state of a leaf, or false if the leaf is unknown. upstream.Caller provides one.
type StateFunc func(leaf string) (upstream.State, bool)

// Registry holds the crash evidence collected by one gather and the evidence received from others. It is
// safe for concurrent use.
type Registry struct {
	settings  Settings
	reporter  feed.Reporter
	leafState StateFunc
	clock     func() time.Time
	metrics   *Metrics

	mu sync.Mutex
	// mu guards the fields below. suspects and answered are keyed by Digest, proven by FullDigest, and
	// leaves by leaf ID.
	suspects map[uint64]*suspect
	proven   *answeredSet
	answered *answeredSet
	// unresolved holds the connection losses for which it is not yet known whether the leaf crashed.
	unresolved []loss
	leaves     map[string]*leaf
}

// loss is a connection lost with an unproven request in flight. notedAt is when it was recorded.
type loss struct {
	digest uint64
	crash
	notedAt time.Time
}

// New returns a registry without evidence. The reporter passes crashes on to the other VMs.
func New(s Settings, reporter feed.Reporter, states StateFunc, clock func() time.Time, m *Metrics) *Registry {
	return &Registry{
		settings: s, reporter: reporter, leafState: states, clock: clock, metrics: m,
		suspects: make(map[uint64]*suspect), proven: newAnsweredSet(s.Remembered), answered: newAnsweredSet(s.Remembered),
		leaves: make(map[string]*leaf),
	}
}

// Status returns how the request may run now. For a quarantined or doubted request it also returns the
// time to retry after. Each call for a quarantined request renews its evidence.
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

// Answered reports whether a leaf has answered the request, even if a connection was lost with it since.
// same is true if a leaf answered this exact request to this VM. content is true if a leaf answered the
// same content for any snapshot or number of hits, to this VM or to another one that reported it.
func (r *Registry) Answered(k Key) (same, content bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proven.contains(k.FullDigest), r.contentAnswered(k.Digest)
}

// contentAnswered reports whether a leaf has answered the content for any snapshot or number of hits, to
// this VM or to another one that reported it. Requires mu.
func (r *Registry) contentAnswered(digest uint64) bool { return r.answered.contains(digest) }

func (r *Registry) expired(s *suspect, now time.Time) bool {
	return now.Sub(s.newestEvidenceAt()) > r.settings.Age.D()
}

// renew resets the age of the evidence, so that a request that keeps coming stays refused. The renewal
// takes effect here at once and is reported to the other VMs at most renewalReportsPerAge times per age.
// Requires mu.
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

// renewalReportsPerAge is how many times renewed evidence is reported within Settings.Age.
const renewalReportsPerAge = 4

func (r *Registry) reportCrash(digest uint64, c crash, now time.Time) {
	answered := r.contentAnswered(digest)
	r.reporter.ReportCrash(crashMessage(digest, c, answered, now))
	if s := r.suspects[digest]; s != nil {
		s.markShared(c.crashID, answered)
	}
}

// reportAnswer reports to the other VMs, once for each crash that they have, that a leaf has answered the
// request. Without the report, a VM to which the request is new would refuse it for crashes that another
// request caused. Requires mu.
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

// CrashedLeaves returns the IDs of the leaves that crashed with the request in flight. A leaf that
// crashed in several incarnations is listed once for each.
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

// WithholdPeriod returns how long a lost leaf takes no first run, Settings.Hold.
func (r *Registry) WithholdPeriod() time.Duration { return r.settings.Hold.D() }

// RecordAnswer records that a leaf has answered the request and so survived it.
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

// RecordProvenLoss records that a proven request was in flight when a connection was lost. The loss is
// no evidence against the request, but the next run is on one leaf first.
func (r *Registry) RecordProvenLoss(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proven.markConnectionLost(k.FullDigest)
}

// RecordUnprovenLoss records that a request which no leaf has answered was in flight when the connection
// to a leaf was lost. The loss counts against the request at once and is withdrawn if the leaf turns out
// to have survived.
func (r *Registry) RecordUnprovenLoss(digest uint64, leaf string, incarnation uint64, alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.recordLoss(leaf, incarnation, now)
	r.addLoss(digest, crash{crashID: crashID{leaf, incarnation}, renewedAt: now, alone: alone}, now)
}

// addLoss counts a loss against a request until it is known whether the leaf crashed. Requires mu.
func (r *Registry) addLoss(digest uint64, c crash, now time.Time) {
	if !r.suspectFor(digest, now).addCrash(c, now) {
		return
	}
	r.metrics.evidence.WithLabelValues("own").Inc()
	r.unresolved = append(r.unresolved, loss{digest: digest, crash: c, notedAt: now})
	r.resolveLosses(now)
}

// RecordConnectionLoss records that a connection to the leaf broke. The leaf counts as lost.
func (r *Registry) RecordConnectionLoss(leaf string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLoss(leaf, incarnation, r.clock())
}

// suspectFor returns the suspect of a digest and creates it if there is none or if it has expired. Above
// maxSuspects it evicts the suspect with the oldest evidence. Requires mu.
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
