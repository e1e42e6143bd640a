package bundle

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Store holds the bundle in force. Bundles are ordered by version, then digest. The store only moves
// to a higher bundle, so all stores that received the same bundles hold the same one, regardless of
// the order of arrival. It is safe for concurrent use.
type Store struct {
	metrics *metrics
	now     func() time.Time
	// verify checks and decodes a manifest. It is immutable.
	verify func(*pb.SignedManifest) (*pb.Manifest, Digest, error)

	// applying serializes Apply, so that mu is not held while a text is parsed.
	applying sync.Mutex

	mu sync.Mutex
	// inForce is nil before the first bundle; guarded by mu.
	inForce *accepted
	// changed is closed and replaced at each change; guarded by mu.
	changed chan struct{}
	// seen is the history of verified bundles; guarded by mu.
	seen history
	// refusals holds the newest refusal for each reason; guarded by mu.
	refusals map[RefusalReason]Refusal
	// last is the reason for the newest refusal, empty if there is none; guarded by mu.
	last RefusalReason
}

// accepted is a bundle in force with its manifest and text. It is immutable.
type accepted struct {
	bundle *Bundle
	signed *pb.SignedManifest
	parent Digest
	text   []byte
	since  time.Time
}

// Refusal describes a bundle that was not applied.
type Refusal struct {
	Reason  RefusalReason
	Version uint64
	Digest  Digest
	Message string
	At      time.Time
}

// NewStore returns an empty store that applies only bundles whose signatures satisfy trust. Its metrics
// are registered in reg unless reg is nil.
func NewStore(trust Trust, reg prometheus.Registerer) *Store {
	return newStore(reg, func(s *pb.SignedManifest) (*pb.Manifest, Digest, error) { return Verify(s, trust) })
}

// NewFollowerStore returns an empty store for a process that receives its bundles from burdock-sync on
// its own VM. It does not verify signatures, since burdock-sync has done so.
func NewFollowerStore(reg prometheus.Registerer) *Store {
	return newStore(reg, func(s *pb.SignedManifest) (*pb.Manifest, Digest, error) {
		d := ManifestDigest(s.GetManifest())
		m, err := decodeManifest(s.GetManifest())
		if err != nil {
			err.Digest = d
			return nil, d, err
		}
		return m, d, nil
	})
}

func newStore(reg prometheus.Registerer, verify func(*pb.SignedManifest) (*pb.Manifest, Digest, error)) *Store {
	return &Store{
		metrics:  newMetrics(reg),
		now:      time.Now,
		verify:   verify,
		changed:  make(chan struct{}),
		refusals: make(map[RefusalReason]Refusal),
	}
}

// Apply verifies and checks a bundle and puts it in force if it is higher than the one in force. It
// returns nil for the bundle that is in force already. If the bundle is refused, the error is a
// *RefusedError and the bundle in force is unchanged. The store retains signed and text: the caller
// must not modify them.
func (s *Store) Apply(signed *pb.SignedManifest, text []byte) error {
	s.applying.Lock()
	defer s.applying.Unlock()
	err := s.apply(signed, text)
	var refused *RefusedError
	if errors.As(err, &refused) {
		s.recordRefusal(refused)
	}
	return err
}

func (s *Store) apply(signed *pb.SignedManifest, text []byte) error {
	m, d, err := s.verify(signed)
	if err != nil {
		return err
	}
	s.recordRace(m.GetVersion(), d)
	if known, err := s.compare(m.GetVersion(), d); known || err != nil {
		return err
	}
	b, err := open(m, d, text)
	if err != nil {
		return err
	}
	var parent Digest
	copy(parent[:], m.GetParent())
	s.activate(&accepted{bundle: b, signed: signed, parent: parent, text: text, since: s.now()})
	return nil
}

// compare reports whether the bundle is the one in force. It returns a *RefusedError for a lower one.
func (s *Store) compare(version uint64, d Digest) (known bool, err error) {
	cur := s.Current()
	switch {
	case cur == nil || version > cur.Version:
		return false, nil
	case version < cur.Version:
		err = fmt.Errorf("version %d is in force", cur.Version)
		return false, &RefusedError{Reason: RefusedOlder, Version: version, Digest: d, cause: err}
	}
	switch bytes.Compare(d[:], cur.Digest[:]) {
	case 0:
		return true, nil
	case 1:
		return false, nil
	}
	err = fmt.Errorf("another bundle of the version, with the higher digest %s, is in force", cur.Digest)
	return false, &RefusedError{Reason: RefusedRace, Version: version, Digest: d, cause: err}
}

// activate puts a bundle in force and notifies the waiters of Changed.
func (s *Store) activate(a *accepted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.inForce; p != nil && p.bundle.Version+1 == a.bundle.Version && p.bundle.Digest != a.parent {
		s.metrics.parentMismatches.Inc()
	}
	s.inForce = a
	s.metrics.version.Set(float64(a.bundle.Version))
	s.metrics.applied.Inc()
	close(s.changed)
	s.changed = make(chan struct{})
}

// recordRace adds a verified bundle to the history and counts a race if another one has its version.
func (s *Store) recordRace(version uint64, d Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen.add(version, d) {
		s.metrics.races.Inc()
	}
}

// recordRefusal counts a refusal and keeps it for the dump.
func (s *Store) recordRefusal(e *RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.refused.WithLabelValues(string(e.Reason)).Inc()
	s.refusals[e.Reason] = Refusal{Reason: e.Reason, Version: e.Version, Digest: e.Digest, Message: e.cause.Error(), At: s.now()}
	s.last = e.Reason
}

// Current returns the bundle in force, or nil.
func (s *Store) Current() *Bundle {
	if a := s.accepted(); a != nil {
		return a.bundle
	}
	return nil
}

// Manifest returns the signed manifest of the bundle in force, or nil. The caller must not modify it.
func (s *Store) Manifest() *pb.SignedManifest {
	if a := s.accepted(); a != nil {
		return a.signed
	}
	return nil
}

// Text returns the text of the bundle in force, or nil. The caller must not modify it.
func (s *Store) Text() []byte {
	if a := s.accepted(); a != nil {
		return a.text
	}
	return nil
}

// Changed returns a channel that is closed when the next bundle is put in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// LastRefusal returns the newest refusal and reports whether there was one.
func (s *Store) LastRefusal() (Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.refusals[s.last]
	return r, ok
}

func (s *Store) accepted() *accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}
