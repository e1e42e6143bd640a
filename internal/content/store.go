// Package content stores the platform's content in a sync process: the bundle in force and the list of
// VMs and upstreams, both as sections addressed by their SHA-256. It determines which sections of a
// newer bundle or list are missing, and it never goes back to a lower one.
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

// Bundles checks bundles and puts them in force. *bundle.Store implements it.
type Bundles interface {
	Apply(signed *pb.SignedManifest, text []byte) error
	Current() *bundle.Bundle
}

// Store holds the content of one sync process. It is safe for concurrent use.
type Store struct {
	bundles Bundles
	trust   bundle.Trust
	changed *notify.Notifier

	// applying serializes changes, so that bundles and inForce stay consistent.
	applying sync.Mutex

	mu sync.Mutex
	// offered is the highest bundle with valid signatures and sections, nil before the first: the one in
	// force, or one whose text is being checked. inForce is the bundle in force, nil before the first.
	// previous is the one that it replaced, whose sections peers may still request. list is nil before the
	// first. All are guarded by mu.
	offered           *Offer
	inForce, previous *Bundle
	list              *listing.List
	// highest is the highest version of a bundle with valid signatures; guarded by mu.
	highest uint64
}

// Offer is a bundle with valid signatures and sections. Each process checks its text for itself, so that peers and
// the processes of the VM receive it without waiting for the check here, which at each VM on the way takes as long as
// all other steps together. It is immutable.
type Offer struct {
	Version  uint64
	Digest   bundle.Digest
	Signed   *pb.SignedManifest
	Text     []byte
	sections map[bundle.Digest][]byte
	// checked is closed when the check of the text in this process has ended.
	checked chan struct{}
}

// Bundle is a bundle in force with its offer. It is immutable.
type Bundle struct {
	*bundle.Bundle
	offer *Offer
}

// New returns an empty store over bundles. No other code may apply bundles to it. The store fires changed
// after each change.
func New(bundles Bundles, trust bundle.Trust, changed *notify.Notifier) *Store {
	return &Store{bundles: bundles, trust: trust, changed: changed}
}

// offerOrNil returns the offer of b, or nil if b is nil.
func (b *Bundle) offerOrNil() *Offer {
	if b == nil {
		return nil
	}
	return b.offer
}

// Bundle returns the bundle in force, or nil.
func (s *Store) Bundle() *Bundle {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Offered returns the highest bundle that peers and processes of the VM may receive, or nil.
func (s *Store) Offered() *Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offered
}

// List returns the list, or nil.
func (s *Store) List() *listing.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Highest returns the highest version of a bundle whose signatures were verified, or 0.
func (s *Store) Highest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

// BundleHigher reports whether a bundle of the version and digest is higher than the one offered. The
// digest may be a prefix.
func (s *Store) BundleHigher(version uint64, digest []byte) bool {
	cur := s.Offered()
	if cur == nil || version != cur.Version {
		return version > 0 && (cur == nil || version > cur.Version)
	}
	n := min(len(digest), len(cur.Digest))
	return bytes.Compare(digest[:n], cur.Digest[:n]) > 0
}

// HigherThan reports whether the bundle is higher than one of the version and digest.
func (o *Offer) HigherThan(version uint64, digest bundle.Digest) bool {
	if o.Version != version {
		return o.Version > version
	}
	return bytes.Compare(o.Digest[:], digest[:]) > 0
}

// ListHigher reports whether a list of the revision is higher than the stored one.
func (s *Store) ListHigher(revision uint64) bool {
	cur := s.List()
	return revision > 0 && (cur == nil || revision > cur.Revision)
}

// MissingBundleSections returns the digests of the sections that are not stored yet. wanted is false if the
// bundle is not higher than the one offered. If it is the one offered, MissingBundleSections returns after
// the check of its text has ended. Signatures are verified first, so that nothing is fetched for a manifest
// that can't be accepted.
func (s *Store) MissingBundleSections(signed *pb.SignedManifest) (missing []bundle.Digest, wanted bool, err error) {
	digest := bundle.ManifestDigest(signed.GetManifest())
	if cur := s.Offered(); cur != nil && digest == cur.Digest {
		<-cur.checked
		return nil, false, nil
	}
	m, _, err := bundle.Verify(signed, s.trust)
	if err != nil {
		// Apply fails on the signatures, too, and records the refusal for operators.
		return nil, false, s.bundles.Apply(signed, nil)
	}
	s.noteHighest(m.GetVersion())
	if !s.BundleHigher(m.GetVersion(), digest[:]) {
		// Apply records it as a race or as an older version.
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

// ignoreOlder returns nil for the refusal of a bundle that is only not higher: a stale platform or peer
// is not an error of the bundle. It returns any other error unchanged.
func ignoreOlder(err error) error {
	var refused *bundle.RefusedError
	if errors.As(err, &refused) && (refused.Reason == bundle.RefusedOlder || refused.Reason == bundle.RefusedRace) {
		return nil
	}
	return err
}

// OfferBundle assembles a bundle's text from the fetched and the stored sections. From then on Offered returns it,
// and the caller must call ApplyOffer. The offer is nil if the bundle is not higher than the one offered.
func (s *Store) OfferBundle(signed *pb.SignedManifest, fetched [][]byte) (*Offer, error) {
	m, digest, err := bundle.Verify(signed, s.trust)
	if err != nil {
		return nil, err
	}
	text, err := bundle.Assemble(m, s.withStored(m.GetSections(), fetched))
	if err != nil {
		return nil, eris.Wrapf(err, "sync.content: assemble bundle version %d", m.GetVersion())
	}
	o := &Offer{
		Version: m.GetVersion(), Digest: digest, Signed: signed, Text: text, sections: sectionsByDigest(text),
		checked: make(chan struct{}),
	}
	if !s.offer(o) {
		return nil, nil
	}
	s.changed.Fire()
	return o, nil
}

// offer makes o the offered bundle if it is higher, and reports whether it was.
func (s *Store) offer(o *Offer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.offered != nil && !o.HigherThan(s.offered.Version, s.offered.Digest) {
		return false
	}
	s.offered = o
	return true
}

// ApplyOffer checks the text of an offered bundle and puts it in force. A bundle that is refused is withdrawn.
// ApplyOffer must be called once for each offer. It reports whether the bundle in force changed.
func (s *Store) ApplyOffer(o *Offer) (bool, error) {
	defer close(o.checked)
	s.applying.Lock()
	defer s.applying.Unlock()
	if err := s.bundles.Apply(o.Signed, o.Text); err != nil {
		s.withdraw(o)
		return false, ignoreOlder(err)
	}
	next := &Bundle{Bundle: s.bundles.Current(), offer: o}
	s.mu.Lock()
	s.inForce, s.previous = next, s.inForce
	s.mu.Unlock()
	s.changed.Fire()
	return true, nil
}

// withdraw replaces the offer o by the bundle in force. It does nothing if another bundle is offered.
func (s *Store) withdraw(o *Offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.offered != o {
		return
	}
	s.offered = s.inForce.offerOrNil()
}

func sectionsByDigest(text []byte) map[bundle.Digest][]byte {
	sections := make(map[bundle.Digest][]byte)
	for _, sec := range bundle.Split(text) {
		sections[bundle.SectionDigest(sec)] = sec
	}
	return sections
}

// MissingListSections returns the digests of the list's sections that are not stored yet. wanted is false
// if the list is not higher than the stored one.
func (s *Store) MissingListSections(m *pb.ListManifest) (missing []bundle.Digest, wanted bool) {
	if !s.ListHigher(m.GetRevision()) {
		return nil, false
	}
	return s.missing(m.GetSections()), true
}

// ApplyListManifest assembles a list from the fetched and the stored sections and applies it. It reports
// whether the list changed.
func (s *Store) ApplyListManifest(m *pb.ListManifest, fetched [][]byte) (bool, error) {
	sections := make(map[bundle.Digest][]byte)
	for _, sec := range s.withStored(m.GetSections(), fetched) {
		sections[bundle.SectionDigest(sec)] = sec
	}
	l, err := listing.Assemble(m, sections)
	if err != nil {
		return false, err
	}
	return s.ApplyList(l), nil
}

// ApplyList stores a list if it is higher than the stored one, and reports whether it was.
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

// Section returns the section with the digest and reports whether it is stored.
func (s *Store) Section(d bundle.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range []*Offer{s.offered, s.inForce.offerOrNil(), s.previous.offerOrNil()} {
		if o == nil {
			continue
		}
		if sec, ok := o.sections[d]; ok {
			return sec, true
		}
	}
	if s.list == nil {
		return nil, false
	}
	sec, ok := s.list.Sections[d]
	return sec, ok
}

// missing returns the digests in named without a stored section, each once. It skips invalid digests.
func (s *Store) missing(named [][]byte) []bundle.Digest {
	var out []bundle.Digest
	seen := make(map[bundle.Digest]bool)
	for _, raw := range named {
		if len(raw) != len(bundle.Digest{}) {
			continue // Assemble refuses it
		}
		d := bundle.Digest(raw)
		if _, held := s.Section(d); !held && !seen[d] {
			out = append(out, d)
		}
		seen[d] = true
	}
	return out
}

// withStored returns fetched with the stored sections whose digests are in named.
func (s *Store) withStored(named [][]byte, fetched [][]byte) [][]byte {
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
