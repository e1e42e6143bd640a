package content

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/listing"
	"github.com/burdockplank/burdockplank/internal/notify"
)

var key = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func newStore() *Store {
	public := key.Public().(ed25519.PublicKey)
	trust := bundle.Trust{Threshold: 1, Reviewers: map[string]ed25519.PublicKey{bundle.KeyID(public): public}}
	return New(bundle.NewStore(trust, nil), trust, notify.New())
}

// text returns the text of a bundle with the named services. Another salt changes only the caller.
func text(version int, salt string, services ...string) []byte {
	out := fmt.Sprintf("version = %d\n[limits]\nmax_query_bytes = 4096\nmax_top_k = 100\nmax_timeout = \"10s\"\n", version)
	out += fmt.Sprintf("[[caller]]\nname = \"desk%s\"\ntoken_sha256 = \"%064d\"\nservices = [\"%s\"]\n", salt, 7, services[0])
	for _, s := range services {
		out += fmt.Sprintf("[[service]]\nname = %q\n[[service.kind]]\nname = \"dawn\"\nmode = \"search\"\ntimeout = \"1s\"\n", s)
		out += fmt.Sprintf("[[service.leaf]]\nid = \"%s-0-a\"\nzone = \"az-1\"\naddress = \"127.0.2.1:9%03d\"\nslots = 3\nconnections = 30\n", s, s[0])
		out += fmt.Sprintf("[[service.snapshot]]\nversion = 1\n[[service.snapshot.shard]]\nid = 0\ndocuments = 10\nleaves = [\"%s-0-a\"]\n", s)
	}
	return []byte(out)
}

func sign(t *testing.T, text []byte) *pb.SignedManifest {
	t.Helper()
	signed, err := bundle.Sign(text, bundle.Digest{}, key)
	if err != nil {
		t.Fatal(err)
	}
	return signed
}

// selectSections returns the sections of a text with the given digests.
func selectSections(text []byte, digests []bundle.Digest) (out [][]byte) {
	for _, sec := range bundle.Split(text) {
		for _, d := range digests {
			if bundle.SectionDigest(sec) == d {
				out = append(out, sec)
			}
		}
	}
	return out
}

// offerAndApply offers a bundle and puts it in force.
func offerAndApply(s *Store, signed *pb.SignedManifest, fetched [][]byte) (bool, error) {
	o, err := s.OfferBundle(signed, fetched)
	if o == nil {
		return false, err
	}
	return s.ApplyOffer(o)
}

func apply(t *testing.T, s *Store, text []byte) (missing int) {
	t.Helper()
	signed := sign(t, text)
	digests, wanted, err := s.MissingBundleSections(signed)
	if err != nil || !wanted {
		t.Fatal(wanted, err)
	}
	if changed, err := offerAndApply(s, signed, selectSections(text, digests)); err != nil || !changed {
		t.Fatal(changed, err)
	}
	return len(digests)
}

func TestOnlyChangedSectionsAreMissing(t *testing.T) {
	is := is.New(t)
	s := newStore()
	is.Equal(apply(t, s, text(1, "", "a", "b", "c")), 8) // limits, callers, and two for each service
	is.Equal(apply(t, s, text(2, "", "a", "b", "c")), 1) // the first section has the version
	is.Equal(apply(t, s, text(3, "-x", "a", "b", "c")), 2)
	is.Equal(apply(t, s, text(4, "-x", "a", "c")), 1)
	is.Equal(s.Bundle().Version, uint64(4))
	for _, sec := range bundle.Split(text(3, "-x", "a", "b", "c")) {
		_, held := s.Section(bundle.SectionDigest(sec))
		is.True(held) // peers may still fetch the previous version
	}
}

func TestLowerBundlesAreNotWanted(t *testing.T) {
	is := is.New(t)
	s := newStore()
	apply(t, s, text(5, "", "a"))
	for _, version := range []int{4, 5} {
		_, wanted, err := s.MissingBundleSections(sign(t, text(version, "", "a")))
		is.NoErr(err)
		is.True(!wanted)
	}
	old := text(4, "", "a")
	changed, err := offerAndApply(s, sign(t, old), bundle.Split(old))
	is.NoErr(err) // a stale platform is not an error of the bundle
	is.True(!changed)
	is.Equal(s.Bundle().Version, uint64(5))
	is.Equal(s.Highest(), uint64(5))
}

func TestUnsignedManifestIsNotFetched(t *testing.T) {
	is := is.New(t)
	s := newStore()
	signed := sign(t, text(1, "", "a"))
	signed.Signatures = nil
	_, wanted, err := s.MissingBundleSections(signed)
	is.True(err != nil)
	is.True(!wanted)
	is.Equal(s.Highest(), uint64(0))
}

func TestMissingSectionsAreNoRefusal(t *testing.T) {
	is := is.New(t)
	s := newStore()
	one := text(1, "", "a")
	_, err := offerAndApply(s, sign(t, one), [][]byte{[]byte("junk")})
	is.True(err != nil)
	apply(t, s, one) // as if another peer had the sections
}

// TestOfferIsThereBeforeItsCheck guards against a delay at each VM on the way of a bundle: it is offered while its
// text is still checked, and withdrawn if the check refuses it.
func TestOfferIsThereBeforeItsCheck(t *testing.T) {
	is := is.New(t)
	s := newStore()
	apply(t, s, text(1, "", "a"))
	two := text(2, "", "a")
	o, err := s.OfferBundle(sign(t, two), bundle.Split(two))
	is.NoErr(err)
	is.Equal(s.Offered(), o)
	is.Equal(s.Bundle().Version, uint64(1))
	is.True(!s.BundleHigher(2, o.Digest[:8])) // not fetched again
	again, err := s.OfferBundle(sign(t, two), nil)
	is.NoErr(err)
	is.True(again == nil)
	changed, err := s.ApplyOffer(o)
	is.NoErr(err)
	is.True(changed)

	bad := bytes.Replace(text(3, "", "a"), []byte("leaves = [\"a-0-a\"]"), []byte("leaves = [\"none\"]"), 1)
	o, err = s.OfferBundle(signUnchecked(t, 3, bad), bundle.Split(bad))
	is.NoErr(err)
	for _, sec := range bundle.Split(bad) {
		_, held := s.Section(bundle.SectionDigest(sec))
		is.True(held)
	}
	_, err = s.ApplyOffer(o)
	is.True(err != nil)
	is.Equal(s.Offered().Version, uint64(2))
	is.True(s.BundleHigher(3, nil)) // another bundle of the version is accepted
}

// signUnchecked signs a text without checking it.
func signUnchecked(t *testing.T, version uint64, text []byte) *pb.SignedManifest {
	t.Helper()
	m := &pb.Manifest{Version: version}
	for _, sec := range bundle.Split(text) {
		d := bundle.SectionDigest(sec)
		m.Sections = append(m.Sections, d[:])
	}
	encoded, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	signed := &pb.SignedManifest{Manifest: encoded}
	if err := bundle.AddSignature(signed, key); err != nil {
		t.Fatal(err)
	}
	return signed
}

func TestBundleHigherByPrefix(t *testing.T) {
	is := is.New(t)
	s := newStore()
	is.True(s.BundleHigher(1, nil))
	is.True(!s.BundleHigher(0, nil)) // the peer has no bundle
	apply(t, s, text(5, "", "a"))
	own := s.Bundle().Digest
	above, below := own, own
	above[0], below[0] = own[0]+1, own[0]-1
	is.True(!s.BundleHigher(5, own[:8]))
	is.Equal(s.BundleHigher(5, above[:8]), above[0] > own[0])
	is.Equal(s.BundleHigher(5, below[:8]), below[0] > own[0])
	is.True(s.BundleHigher(6, below[:8]))
	is.True(!s.BundleHigher(4, above[:8]))
	is.True(s.Offered().HigherThan(4, above))
	is.True(!s.Offered().HigherThan(5, own))
}

func TestListsAreFetchedBySectionAndNeverRevert(t *testing.T) {
	is := is.New(t)
	vms := func(n int) (out []*pb.Vm) {
		for i := range n {
			out = append(out, &pb.Vm{Id: fmt.Sprintf("vm-%d", i)})
		}
		return out
	}
	s := newStore()
	is.True(s.ApplyList(listing.New(2, vms(200), nil)))
	newer := listing.New(3, vms(201), nil)
	missing, wanted := s.MissingListSections(newer.Manifest)
	is.True(wanted)
	is.Equal(len(missing), 1)
	_, err := s.ApplyListManifest(newer.Manifest, nil)
	is.True(err != nil) // a section is missing
	is.Equal(s.List().Revision, uint64(2))
	changed, err := s.ApplyListManifest(newer.Manifest, [][]byte{newer.Sections[missing[0]]})
	is.NoErr(err)
	is.True(changed)
	is.Equal(len(s.List().VMs), 201)
	is.True(!s.ApplyList(listing.New(2, nil, nil)))
	_, wanted = s.MissingListSections(nil)
	is.True(!wanted) // the peer has no list
}
