package bundle

import (
	"crypto/ed25519"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Limits of a manifest, which bound the cost of a hostile one.
const (
	maxManifestBytes = 1 << 20
	maxSignatures    = 64
)

// Trust holds the reviewers whose signatures count and how many of them must sign.
type Trust struct {
	// Threshold is the number of distinct reviewers that must have signed; at least 1.
	Threshold int
	// Reviewers holds the public keys by their KeyID.
	Reviewers map[string]ed25519.PublicKey
}

// Verify checks the signatures of a manifest and decodes it. Each reviewer counts once, even with
// several signatures or key ids. The digest is returned with an error as well. The error is a
// *RefusedError.
func Verify(signed *pb.SignedManifest, trust Trust) (*pb.Manifest, Digest, error) {
	d := ManifestDigest(signed.GetManifest())
	if err := trust.check(signed); err != nil {
		err.Digest = d
		return nil, d, err
	}
	m, err := decodeManifest(signed.GetManifest())
	if err != nil {
		err.Digest = d
		return nil, d, err
	}
	return m, d, nil
}

// check requires valid signatures of at least Threshold distinct reviewers.
func (t Trust) check(signed *pb.SignedManifest) *RefusedError {
	if t.Threshold < 1 {
		return refuse(RefusedSignatures, "signature threshold is %d, want 1 or more", t.Threshold)
	}
	if n := len(signed.GetSignatures()); n > maxSignatures {
		return refuse(RefusedSignatures, "%d signatures, at most %d are read", n, maxSignatures)
	}
	good := t.Signers(signed)
	if len(good) < t.Threshold {
		return refuse(RefusedSignatures, "%d of %d signatures are good and of distinct reviewers, %d are needed",
			len(good), len(signed.GetSignatures()), t.Threshold)
	}
	return nil
}

// Signers returns the key ids of the reviewers with a valid signature, each reviewer once.
func (t Trust) Signers(signed *pb.SignedManifest) []string {
	message := signedBytes(ManifestDigest(signed.GetManifest()))
	counted := make(map[string]bool)
	var good []string
	for _, s := range signed.GetSignatures() {
		key, ok := t.Reviewers[s.GetKeyId()]
		if !ok || counted[string(key)] || len(key) != ed25519.PublicKeySize {
			continue
		}
		if ed25519.Verify(key, message, s.GetSignature()) {
			counted[string(key)] = true
			good = append(good, s.GetKeyId())
		}
	}
	return good
}

// decodeManifest decodes a manifest and refuses one that is too large or invalid.
func decodeManifest(encoded []byte) (*pb.Manifest, *RefusedError) {
	if len(encoded) > maxManifestBytes {
		return nil, refuse(RefusedManifest, "manifest of %d bytes, at most %d are read", len(encoded), maxManifestBytes)
	}
	m := new(pb.Manifest)
	if err := proto.Unmarshal(encoded, m); err != nil {
		return nil, refuse(RefusedManifest, "decode manifest: %w", err)
	}
	if err := checkManifest(m); err != nil {
		err.Version = m.GetVersion()
		return nil, err
	}
	return m, nil
}

func checkManifest(m *pb.Manifest) *RefusedError {
	if len(m.ProtoReflect().GetUnknown()) > 0 {
		return refuse(RefusedManifest, "manifest has fields unknown to this release")
	}
	if m.GetVersion() < 1 {
		return refuse(RefusedManifest, "manifest without version")
	}
	if n := len(m.GetParent()); n != 0 && n != len(Digest{}) {
		return refuse(RefusedManifest, "parent digest of %d bytes", n)
	}
	if len(m.GetSections()) == 0 {
		return refuse(RefusedManifest, "manifest without sections")
	}
	for i, s := range m.GetSections() {
		if len(s) != len(Digest{}) {
			return refuse(RefusedManifest, "section %d has a digest of %d bytes", i, len(s))
		}
	}
	return nil
}

// Open parses a bundle whose signatures were verified before, such as one received from burdock-sync on
// the same VM. It checks that the sections of the text are those in the manifest and sets the Digest.
// The error is a *RefusedError.
func Open(signed *pb.SignedManifest, text []byte) (*Bundle, error) {
	m, err := decodeManifest(signed.GetManifest())
	d := ManifestDigest(signed.GetManifest())
	if err != nil {
		err.Digest = d
		return nil, err
	}
	return open(m, d, text)
}

func open(m *pb.Manifest, d Digest, text []byte) (*Bundle, error) {
	refused := func(reason RefusalReason, cause error) error {
		return &RefusedError{Reason: reason, Version: m.GetVersion(), Digest: d, cause: cause}
	}
	if err := checkSections(m, text); err != nil {
		return nil, refused(RefusedSections, err)
	}
	b, err := Parse(text)
	if pe, ok := err.(*ParseError); ok && pe.Unworkable {
		return nil, refused(RefusedUnworkable, err)
	}
	if err != nil {
		return nil, refused(RefusedSyntax, err)
	}
	if b.Version != m.GetVersion() {
		return nil, refused(RefusedManifest, fmt.Errorf("text has version %d, which differs from the manifest", b.Version))
	}
	b.Digest = d
	return b, nil
}
