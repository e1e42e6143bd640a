package bundle

import (
	"crypto/ed25519"
	"fmt"
	"strings"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// reviewer returns the n-th private key of a fixed set.
func reviewer(n byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = n
	return ed25519.NewKeyFromSeed(seed)
}

// trustOf returns a Trust of the given reviewers.
func trustOf(threshold int, keys ...ed25519.PrivateKey) Trust {
	t := Trust{Threshold: threshold, Reviewers: make(map[string]ed25519.PublicKey)}
	for _, k := range keys {
		public := k.Public().(ed25519.PublicKey)
		t.Reviewers[KeyID(public)] = public
	}
	return t
}

// candidate is a bundle that may be offered to a store.
type candidate struct {
	version uint64
	digest  Digest
	signed  *pb.SignedManifest
	text    []byte
}

// signedCandidate signs the text without checking it.
func signedCandidate(version uint64, parent Digest, text string, keys ...ed25519.PrivateKey) candidate {
	manifest, err := encodeManifest(version, parent, []byte(text))
	if err != nil {
		panic(err)
	}
	signed := &pb.SignedManifest{Manifest: manifest}
	for _, k := range keys {
		if err := AddSignature(signed, k); err != nil {
			panic(err)
		}
	}
	return candidate{version, ManifestDigest(manifest), signed, []byte(text)}
}

// textVariant returns a valid text of the version. Texts with different marks differ.
func textVariant(version uint64, mark int) string {
	return strings.Replace(sample, "version = 3", fmt.Sprintf("version = %d # %d", version, mark), 1)
}

// unworkableText returns a text of the version that can be decoded but has a shard without a leaf.
func unworkableText(version uint64) string {
	return strings.Replace(textVariant(version, 0), `leaves = ["teachers-0-b"]`, "leaves = []", 1)
}
