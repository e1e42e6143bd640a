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

// signatureDomain precedes the digest in the signed bytes, so that a signature of a bundle is valid for
// nothing else.
const signatureDomain = "burdockplank bundle v1\n"

// keyIDBytes is how many bytes of a public key's SHA-256 form its id.
const keyIDBytes = 8

// KeyID returns the id of a reviewer's public key: the first 8 bytes of its SHA-256, in hex.
func KeyID(public ed25519.PublicKey) string {
	sum := sha256.Sum256(public)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// signedBytes returns the message that a reviewer signs for the digest.
func signedBytes(d Digest) []byte { return append([]byte(signatureDomain), d[:]...) }

// ManifestDigest returns the digest of a bundle: the SHA-256 of its manifest's encoded bytes.
func ManifestDigest(manifest []byte) Digest { return sha256.Sum256(manifest) }

// Sign creates the manifest of a text and signs it with each key. The parent is the digest of the
// previous bundle, zero for the first. Sign refuses a text that no store would apply.
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

// encodeManifest returns the encoded manifest of a text. It does not parse the text.
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

// AddSignature adds the key's signature to a signed manifest and replaces an earlier one of the same key.
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
