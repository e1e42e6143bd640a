// Package content keeps what a sync holds of the platform: the bundle in force and the list of VMs
// and upstreams, both as sections named by their SHA-256. It says which sections of a newer one are
// missing, and it never goes back to a lower one.
package content

import (
	"bytes"
	"errors"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/listing"
	"github.com/burdockplank/burdockplank/internal/notify"
)

// Store is the content of one sync. It is safe for concurrent use.
type Store struct {
	bundles *bundle.Store
	trust   bundle.Trust
	changed *notify.Notifier

	// applying serializes changes, so that bundles and held go together.
	applying sync.Mutex

	mu sync.Mutex
	// held is the bundle in force with its sections, nil before the first; before is the one that
	// it replaced, whose sections peers may still ask for. list is nil before the first. All are
	// guarded by mu.
	held, before *Bundle
	list         *listing.List
	// highest version of a bundle whose signatures were good; guarded by mu.
	highest uint64
}

// Bundle is a bundle in force with what it came from. It is immutable.
type Bundle struct {
	*bundle.Bundle
	Signed   *pb.SignedManifest
	Text     []byte
	sections map[bundle.Digest][]byte
}

// New returns an empty store over bundles, which nobody else may apply to. It fires changed after
// each change.
func New(bundles *bundle.Store, trust bundle.Trust, changed *notify.Notifier) *Store {
	return &Store{bundles: bundles, trust: trust, changed: changed}
}

// Bundle returns the bundle in force, or nil.
func (s *Store) Bundle() *Bundle {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// List returns the list, or nil.
func (s *Store) List() *listing.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Highest returns the highest version of a bundle with good signatures that was heard of.
func (s *Store) Highest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

// BundleHigher tells whether a bundle of the version and digest, of which a prefix is enough, is
// higher than the one in force.
func (s *Store) BundleHigher(version uint64, digest []byte) bool {
	cur := s.Bundle()
	if cur == nil || version != cur.Version {
		return version > 0 && (cur == nil || version > cur.Version)
	}
	n := min(len(digest), len(cur.Digest))
	return bytes.Compare(digest[:n], cur.Digest[:n]) > 0
}

// BundleAbove tells whether the bundle in force is higher than one of the version and digest.
func (s *Store) BundleAbove(version uint64, digest bundle.Digest) bool {
	cur := s.Bundle()
	if cur == nil || cur.Version != version {
		return cur != nil && cur.Version > version
	}
	return bytes.Compare(cur.Digest[:], digest[:]) > 0
}

// ListHigher tells whether a list of the revision is higher than the one held.
func (s *Store) ListHigher(revision uint64) bool {
	cur := s.List()
	return revision > 0 && (cur == nil || revision > cur.Revision)
}

// MissingBundle returns the digests of the sections that are not here yet. wanted is false where
// the bundle is not higher than the one in force. Signatures are verified first, so that nothing is
// fetched for a manifest that can't be accepted.
func (s *Store) MissingBundle(signed *pb.SignedManifest) (missing []bundle.Digest, wanted bool, err error) {
	digest := bundle.ManifestDigest(signed.GetManifest())
	cur := s.Bundle()
	if cur != nil && digest == cur.Digest {
		return nil, false, nil
	}
	m, _, err := bundle.Verify(signed, s.trust)
	if err != nil {
		// The store of bundles keeps the refusal for operators.
		return nil, false, s.bundles.Apply(signed, nil)
	}
	s.noteHighest(m.GetVersion())
	if !s.BundleHigher(m.GetVersion(), digest[:]) {
		// Noted as a race or as an old version.
		err = s.bundles.Apply(signed, nil)
		return nil, false, ignoreOlder(err)
	}
	return s.missing(m.GetSections()), true, nil
}

func (s *Store) noteHighest(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highest = max(s.highest, version)
}

// ignoreOlder drops the refusal of a bundle that is merely not higher: a stale platform or peer is
// no fault of the bundle.
func ignoreOlder(err error) error {
	var refused *bundle.RefusedError
	if errors.As(err, &refused) && (refused.Reason == bundle.RefusedOlder || refused.Reason == bundle.RefusedRace) {
		return nil
	}
	return err
}

// ApplyBundle puts a bundle in force from the fetched sections and those held. It returns whether
// the bundle in force changed.
func (s *Store) ApplyBundle(signed *pb.SignedManifest, fetched [][]byte) (bool, error) {
	s.applying.Lock()
	defer s.applying.Unlock()
	m, digest, err := bundle.Verify(signed, s.trust)
	if err != nil {
		return false, err
	}
	cur := s.Bundle()
	if cur != nil && cur.Digest == digest {
		return false, nil
	}
	text, err := bundle.Assemble(m, s.withHeld(m.GetSections(), fetched))
	if err != nil {
		return false, eris.Wrapf(err, "sync.content: assemble bundle version %d", m.GetVersion())
	}
	if err := s.bundles.Apply(signed, text); err != nil {
		return false, ignoreOlder(err)
	}
	next := &Bundle{Bundle: s.bundles.Current(), Signed: signed, Text: text, sections: cut(text)}
	s.mu.Lock()
	s.held, s.before = next, s.held
	s.mu.Unlock()
	s.changed.Fire()
	return true, nil
}

func cut(text []byte) map[bundle.Digest][]byte {
	sections := make(map[bundle.Digest][]byte)
	for _, sec := range bundle.Split(text) {
		sections[bundle.SectionDigest(sec)] = sec
	}
	return sections
}

// MissingList returns the digests of the list's sections that are not here yet; wanted is false
// where the list is not higher than the one held.
func (s *Store) MissingList(m *pb.ListManifest) (missing []bundle.Digest, wanted bool) {
	if !s.ListHigher(m.GetRevision()) {
		return nil, false
	}
	return s.missing(m.GetSections()), true
}

// ApplyListManifest takes a list from the fetched sections and those held.
func (s *Store) ApplyListManifest(m *pb.ListManifest, fetched [][]byte) (bool, error) {
	sections := make(map[bundle.Digest][]byte)
	for _, sec := range s.withHeld(m.GetSections(), fetched) {
		sections[bundle.SectionDigest(sec)] = sec
	}
	l, err := listing.Assemble(m, sections)
	if err != nil {
		return false, err
	}
	return s.ApplyList(l), nil
}

// ApplyList takes a list if it is higher than the one held, and tells whether it was.
func (s *Store) ApplyList(l *listing.List) bool {
	s.applying.Lock()
	defer s.applying.Unlock()
	if !s.ListHigher(l.Revision) {
		return false
	}
	s.mu.Lock()
	s.list = l
	s.mu.Unlock()
	s.changed.Fire()
	return true
}

// Section returns a section and whether it is held.
func (s *Store) Section(d bundle.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range []*Bundle{s.held, s.before} {
		if b == nil {
			continue
		}
		if sec, ok := b.sections[d]; ok {
			return sec, true
		}
	}
	if s.list == nil {
		return nil, false
	}
	sec, ok := s.list.Sections[d]
	return sec, ok
}

// missing returns the named digests, each once, of which no section is held.
func (s *Store) missing(named [][]byte) []bundle.Digest {
	var out []bundle.Digest
	seen := make(map[bundle.Digest]bool)
	for _, raw := range named {
		if len(raw) != len(bundle.Digest{}) {
			continue // refused when the whole is put together
		}
		d := bundle.Digest(raw)
		if _, held := s.Section(d); !held && !seen[d] {
			out = append(out, d)
		}
		seen[d] = true
	}
	return out
}

// withHeld adds the held ones of the named sections to fetched.
func (s *Store) withHeld(named [][]byte, fetched [][]byte) [][]byte {
	all := slices.Clone(fetched)
	for _, raw := range named {
		if len(raw) != len(bundle.Digest{}) {
			continue
		}
		if sec, held := s.Section(bundle.Digest(raw)); held {
			all = append(all, sec)
		}
	}
	return all
}
