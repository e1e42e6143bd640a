package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// signatureDomain goes before the digest in what is signed, so that a signature is good for nothing else.
const signatureDomain = "burdockplank bundle v1\n"

// keyIDBytes is how much of a public key's SHA-256 names the key.
const keyIDBytes = 8

// KeyID names a reviewer's public key: the first 8 bytes of its SHA-256, in hex.
func KeyID(public ed25519.PublicKey) string {
	sum := sha256.Sum256(public)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// signedBytes is what a reviewer's signature covers.
func signedBytes(d Digest) []byte { return append([]byte(signatureDomain), d[:]...) }

// ManifestDigest returns the digest of a bundle: the SHA-256 of its manifest's encoded bytes.
func ManifestDigest(manifest []byte) Digest { return sha256.Sum256(manifest) }

// Sign makes the manifest of a text and signs it with each key. The parent is the digest of the
// bundle before, zero for the first. A text that could not be applied is refused.
func Sign(text []byte, parent Digest, keys ...ed25519.PrivateKey) (*pb.SignedManifest, error) {
	b, err := Parse(text)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeManifest(b.Version, parent, text)
	if err != nil {
		return nil, err
	}
	signed := &pb.SignedManifest{Manifest: encoded}
	for _, k := range keys {
		if err := AddSignature(signed, k); err != nil {
			return nil, err
		}
	}
	return signed, nil
}

// encodeManifest makes the manifest of a text that was parsed before.
func encodeManifest(version uint64, parent Digest, text []byte) ([]byte, error) {
	m := &pb.Manifest{Version: version}
	if !parent.IsZero() {
		m.Parent = parent[:]
	}
	for i, s := range Split(text) {
		if len(s) > MaxSectionBytes {
			return nil, fmt.Errorf("section %d is %d bytes long, the platform takes %d", i, len(s), MaxSectionBytes)
		}
		d := SectionDigest(s)
		m.Sections = append(m.Sections, d[:])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// AddSignature adds the key's signature to a signed manifest, in place of an earlier one of the key.
func AddSignature(signed *pb.SignedManifest, key ed25519.PrivateKey) error {
	if len(key) != ed25519.PrivateKeySize {
		return errors.New("not an ed25519 private key")
	}
	id := KeyID(key.Public().(ed25519.PublicKey))
	sig := ed25519.Sign(key, signedBytes(ManifestDigest(signed.GetManifest())))
	signed.Signatures = slices.DeleteFunc(signed.Signatures, func(s *pb.Signature) bool { return s.GetKeyId() == id })
	signed.Signatures = append(signed.Signatures, &pb.Signature{KeyId: id, Signature: sig})
	return nil
}
