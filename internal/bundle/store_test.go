package bundle

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"pgregory.net/rapid"

	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

// higher reports whether a store prefers a to b: the higher version or, with equal versions, the higher
// digest.
func higher(a, b candidate) bool {
	return a.version > b.version || a.version == b.version && bytes.Compare(a.digest[:], b.digest[:]) > 0
}

// candidatePool is a set of bundles to apply. A store must refuse those whose digest maps to true in bad.
type candidatePool struct {
	candidates []candidate
	bad        map[Digest]bool
}

// drawCandidatePool draws bundles of few versions, so that several share a version.
func drawCandidatePool(t *rapid.T) candidatePool {
	p := candidatePool{bad: make(map[Digest]bool)}
	n := rapid.IntRange(1, 8).Draw(t, "offers")
	for mark := range n {
		version := uint64(rapid.IntRange(1, 4).Draw(t, "version"))
		var c candidate
		fault := rapid.SampledFrom([]string{"none", "none", "none", "unsigned", "unworkable", "text", "version"}).Draw(t, "fault")
		switch fault {
		case "none":
			c = signedCandidate(version, Digest{}, textVariant(version, mark), reviewer(1))
		case "unsigned":
			c = signedCandidate(version, Digest{}, textVariant(version, mark), reviewer(9))
		case "unworkable":
			c = signedCandidate(version, Digest{}, unworkableText(version), reviewer(1))
		case "text": // altered after it was signed
			c = signedCandidate(version, Digest{}, textVariant(version, mark), reviewer(1))
			c.text = append([]byte(nil), c.text...)
			c.text[len(c.text)-2] ^= 1
		case "version": // the text's differs from the manifest's
			c = signedCandidate(version, Digest{}, textVariant(version+1, mark), reviewer(1))
		}
		p.bad[c.digest] = fault != "none"
		p.candidates = append(p.candidates, c)
	}
	return p
}

func TestStoresConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawCandidatePool(t)
		var ends []Digest
		var races []float64
		for range 3 {
			s := NewStore(trustOf(1, reviewer(1)), nil)
			sequence := rapid.Permutation(append(p.candidates, p.candidates[0])).Draw(t, "order")
			applyAll(t, s, p, sequence)
			if b := s.Current(); b != nil {
				ends = append(ends, b.Digest)
			} else {
				ends = append(ends, Digest{})
			}
			races = append(races, testutil.ToFloat64(s.metrics.races))
		}
		if ends[0] != ends[1] || ends[1] != ends[2] {
			t.Fatalf("stores differ: %v", ends)
		}
		if races[0] != races[1] || races[1] != races[2] {
			t.Fatalf("races counted differ: %v", races)
		}
	})
}

// applyAll applies the bundles in sequence and checks after each that the highest valid one is in force.
func applyAll(t *rapid.T, s *Store, p candidatePool, sequence []candidate) {
	var best candidate
	for _, c := range sequence {
		changed := s.Changed()
		err := s.Apply(c.signed, c.text)
		want := !p.bad[c.digest] && higher(c, best)
		if want {
			best = c
		}
		if want && err != nil {
			t.Fatalf("version %d refused: %v", c.version, err)
		}
		if !want && err == nil && c.digest != best.digest {
			t.Fatalf("version %d, %s: not refused", c.version, c.digest)
		}
		if closed := isClosed(changed); closed != want {
			t.Fatalf("Changed closed: %v, want %v", closed, want)
		}
		checkInForce(t, s, best)
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func checkInForce(t *rapid.T, s *Store, best candidate) {
	b := s.Current()
	if best.version == 0 {
		if b != nil || s.Manifest() != nil || s.Text() != nil {
			t.Fatal("a bundle, manifest or text is in force although none was valid")
		}
		return
	}
	if b == nil || b.Digest != best.digest || b.Version != best.version {
		t.Fatalf("wrong bundle in force, want version %d with digest %s", best.version, best.digest)
	}
	if ManifestDigest(s.Manifest().GetManifest()) != best.digest || !bytes.Equal(s.Text(), best.text) {
		t.Fatal("manifest or text are not those of the bundle in force")
	}
}

func TestStoreRefusalReasons(t *testing.T) {
	good := signedCandidate(2, Digest{}, textVariant(2, 0), reviewer(1), reviewer(2))
	rival := signedCandidate(2, Digest{}, textVariant(2, 1), reviewer(1), reviewer(2))
	if higher(rival, good) {
		good, rival = rival, good
	}
	otherText := signedCandidate(5, Digest{}, textVariant(5, 0), reviewer(1), reviewer(2))
	otherText.text = good.text
	empty := signedCandidate(5, Digest{}, textVariant(5, 0), reviewer(1), reviewer(2))
	empty.signed.Manifest = nil
	tests := []struct {
		name   string
		c      candidate
		reason RefusalReason
	}{
		{"one signature of two", signedCandidate(5, Digest{}, textVariant(5, 0), reviewer(1)), RefusedSignatures},
		{"no manifest", empty, RefusedSignatures}, // signatures are checked before the manifest is decoded
		{"no version", signedCandidate(0, Digest{}, textVariant(5, 0), reviewer(1), reviewer(2)), RefusedManifest},
		{"text of another version", signedCandidate(6, Digest{}, textVariant(5, 0), reviewer(1), reviewer(2)), RefusedManifest},
		{"text of another bundle", otherText, RefusedSections},
		{"no TOML", signedCandidate(5, Digest{}, "version = ", reviewer(1), reviewer(2)), RefusedSyntax},
		{"can't work", signedCandidate(5, Digest{}, unworkableText(5), reviewer(1), reviewer(2)), RefusedUnworkable},
		{"older", signedCandidate(1, Digest{}, textVariant(1, 0), reviewer(1), reviewer(2)), RefusedOlder},
		{"lower digest", rival, RefusedRace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewStore(trustOf(2, reviewer(1), reviewer(2)), prometheus.NewRegistry())
			is.NoErr(s.Apply(good.signed, good.text))
			var refused *RefusedError
			is.True(errors.As(s.Apply(tt.c.signed, tt.c.text), &refused))
			t.Log(refused)
			is.Equal(refused.Reason, tt.reason)
			is.Equal(refused.Digest, ManifestDigest(tt.c.signed.GetManifest()))
			is.Equal(s.Current().Digest, good.digest) // the one in force stays
			last, ok := s.LastRefusal()
			is.True(ok)
			is.Equal(last.Reason, tt.reason)
			is.Equal(testutil.ToFloat64(s.metrics.refused.WithLabelValues(string(tt.reason))), 1.0)
			dump := s.Dump().(StoreDump)
			is.Equal(dump.Version, uint64(2))
			is.Equal(len(dump.Refusals), 1)
			is.Equal(dump.Refusals[0].Message, last.Message)
		})
	}
}

func TestStoreCountsRacesAndParentMismatches(t *testing.T) {
	is := is.New(t)
	a, b := signedCandidate(2, Digest{}, textVariant(2, 0), reviewer(1)), signedCandidate(2, Digest{}, textVariant(2, 1), reviewer(1))
	if higher(a, b) {
		a, b = b, a
	}
	s := NewStore(trustOf(1, reviewer(1)), nil)
	is.NoErr(s.Apply(a.signed, a.text))
	is.NoErr(s.Apply(b.signed, b.text)) // the higher digest wins
	is.NoErr(s.Apply(b.signed, b.text)) // repeated, no change
	is.Equal(testutil.ToFloat64(s.metrics.races), 1.0)
	is.Equal(testutil.ToFloat64(s.metrics.applied), 2.0)
	is.Equal(s.Dump().(StoreDump).Races[0].Version, uint64(2))
	is.Equal(len(s.Dump().(StoreDump).Races[0].Digests), 2)

	// The parent of wrongParent is not the bundle in force.
	wrongParent := signedCandidate(3, a.digest, textVariant(3, 0), reviewer(1))
	is.NoErr(s.Apply(wrongParent.signed, wrongParent.text)) // applied, since stores must converge even if they missed the parent
	is.Equal(testutil.ToFloat64(s.metrics.parentMismatches), 1.0)
}

func TestStoreAppliesConcurrently(t *testing.T) {
	is := is.New(t)
	var candidates []candidate
	var best candidate
	for i := range 24 {
		c := signedCandidate(uint64(1+i/2), Digest{}, textVariant(uint64(1+i/2), i), reviewer(1))
		if higher(c, best) {
			best = c
		}
		candidates = append(candidates, c)
	}
	s := NewFollowerStore(nil)
	var wg sync.WaitGroup
	for seed := range uint64(4) {
		sequence := rand.New(rand.NewPCG(seed, 0)).Perm(len(candidates))
		wg.Go(func() {
			var last uint64
			for _, i := range sequence {
				_ = s.Apply(candidates[i].signed, candidates[i].text)
				if v := s.Current().Version; v < last {
					t.Errorf("version %d after %d", v, last)
				} else {
					last = v
				}
			}
		})
	}
	wg.Wait()
	is.Equal(s.Current().Digest, best.digest)
}
