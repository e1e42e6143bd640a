package bundle

import (
	"crypto/ed25519"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/settings"
)

func TestVerifyCountsDistinctReviewers(t *testing.T) {
	k1, k2, stranger := reviewer(1), reviewer(2), reviewer(9)
	twoIDs := trustOf(2, k1, k2)
	twoIDs.Reviewers["alias"] = k1.Public().(ed25519.PublicKey)
	alias := func(s *pb.SignedManifest) {
		s.Signatures = append(s.Signatures, &pb.Signature{KeyId: "alias", Signature: s.Signatures[0].Signature})
	}
	tests := []struct {
		name  string
		trust Trust
		keys  []ed25519.PrivateKey
		edit  func(*pb.SignedManifest)
		ok    bool
	}{
		{"two of two", trustOf(2, k1, k2), []ed25519.PrivateKey{k1, k2}, nil, true},
		{"two and a stranger", trustOf(2, k1, k2), []ed25519.PrivateKey{stranger, k1, k2}, nil, true},
		{"one of two", trustOf(2, k1, k2), []ed25519.PrivateKey{k1}, nil, false},
		{"one and a stranger", trustOf(2, k1, k2), []ed25519.PrivateKey{k1, stranger}, nil, false},
		{"no signature", trustOf(1, k1), nil, nil, false},
		{"one twice", trustOf(2, k1, k2), []ed25519.PrivateKey{k1}, func(s *pb.SignedManifest) {
			s.Signatures = append(s.Signatures, s.Signatures[0])
		}, false},
		{"one under two ids", twoIDs, []ed25519.PrivateKey{k1}, alias, false},
		{"another's signature", trustOf(2, k1, k2), []ed25519.PrivateKey{k1}, func(s *pb.SignedManifest) {
			s.Signatures = append(s.Signatures, &pb.Signature{
				KeyId: KeyID(k2.Public().(ed25519.PublicKey)), Signature: s.Signatures[0].Signature,
			})
		}, false},
		{"manifest changed", trustOf(1, k1), []ed25519.PrivateKey{k1}, func(s *pb.SignedManifest) {
			s.Manifest[len(s.Manifest)-1] ^= 1
		}, false},
		{"signed without the prefix", trustOf(1, k1), nil, func(s *pb.SignedManifest) {
			d := ManifestDigest(s.Manifest)
			s.Signatures = []*pb.Signature{{KeyId: KeyID(k1.Public().(ed25519.PublicKey)), Signature: ed25519.Sign(k1, d[:])}}
		}, false},
		{"threshold zero", trustOf(0, k1), []ed25519.PrivateKey{k1}, nil, false},
		{"too many signatures", trustOf(1, k1), []ed25519.PrivateKey{k1}, func(s *pb.SignedManifest) {
			for range maxSignatures {
				s.Signatures = append(s.Signatures, s.Signatures[0])
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			signed, err := Sign([]byte(sample), Digest{}, tt.keys...)
			is.NoErr(err)
			if tt.edit != nil {
				tt.edit(signed)
			}
			m, d, err := Verify(signed, tt.trust)
			is.Equal(err == nil, tt.ok)
			is.Equal(d, ManifestDigest(signed.Manifest))
			if tt.ok {
				is.Equal(m.GetVersion(), uint64(3))
				return
			}
			var refused *RefusedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, RefusedSignatures)
		})
	}
}

func TestVerifyRefusesInvalidManifests(t *testing.T) {
	section := make([]byte, 32)
	extra := new(pb.Manifest)
	extra.ProtoReflect().SetUnknown([]byte{0xf8, 0x07, 1})
	tests := map[string]*pb.Manifest{
		"no version":       {Sections: [][]byte{section}},
		"no sections":      {Version: 1},
		"short section":    {Version: 1, Sections: [][]byte{section[1:]}},
		"short parent":     {Version: 1, Parent: section[1:], Sections: [][]byte{section}},
		"field of another": extra,
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			encoded, err := proto.Marshal(m)
			is.NoErr(err)
			signed := &pb.SignedManifest{Manifest: encoded}
			is.NoErr(AddSignature(signed, reviewer(1)))
			_, _, err = Verify(signed, trustOf(1, reviewer(1)))
			var refused *RefusedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, RefusedManifest)
		})
	}
}

func TestSignRefusesUnusableText(t *testing.T) {
	is := is.New(t)
	_, err := Sign([]byte(unworkableText(3)), Digest{}, reviewer(1))
	var pe *ParseError
	is.True(errors.As(err, &pe))
	long := "# " + strings.Repeat("x", MaxSectionBytes) + "\n" + sample
	_, err = Sign([]byte(long), Digest{}, reviewer(1))
	is.True(err != nil) // a section over the platform's limit of a value
}

func TestAssembleTakesSectionsInAnyOrder(t *testing.T) {
	is := is.New(t)
	signed, err := Sign([]byte(sample), Digest{}, reviewer(1))
	is.NoErr(err)
	m, _, err := Verify(signed, trustOf(1, reviewer(1)))
	is.NoErr(err)
	sections := Split([]byte(sample))
	sections[0], sections[1] = sections[1], sections[0]
	text, err := Assemble(m, append(sections, []byte("not asked for")))
	is.NoErr(err)
	is.Equal(string(text), sample)
	_, err = Assemble(m, sections[1:])
	is.True(err != nil) // one is missing
	m.Sections = append(m.Sections, m.Sections[0][:5])
	_, err = Assemble(m, sections)
	is.True(err != nil) // a short digest
}

func TestTrustSettingsRefuse(t *testing.T) {
	const k1 = `[[trust.reviewer]]
key_id = "97e0c3d5a1fb1e4c"
public_key = "bad"
`
	tests := []struct{ name, text, key string }{
		{"bad key", "[trust]\nthreshold = 1\n" + k1, "trust.reviewer[0].public_key"},
		{"no reviewers", "[trust]\nthreshold = 1\n", "trust.threshold"},
		{"threshold left out", "[trust]\n", "trust.threshold"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var dst trustFile
			err := settings.Parse("f", []byte(tt.text), &dst)
			var se *settings.Error
			is.True(errors.As(err, &se))
			is.Equal(se.Key, tt.key)
		})
	}
}

type trustFile struct {
	Trust TrustSettings `toml:"trust"`
}

func (f *trustFile) Check(c *settings.Checker) { f.Trust.Check(c) }
