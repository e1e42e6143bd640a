// Package quarantine keeps a request that crashes the upstreams that run it from doing so more
// than a few times in the whole fleet. A text that no leaf has answered yet runs on one leaf first;
// one that was in flight at two crashes is refused.
package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key names a request by its content.
type Key struct {
	// Digest of service and content, and for orders of the kind, is what crash evidence is kept by.
	Digest uint64
	// FullDigest is the digest of all that may change what a leaf does with the request: the content,
	// the snapshot and the number of hits. A request is proven by its Proof.
	FullDigest uint64
}

// SearchKey returns the key of a search. Its kind is not part of it: a leaf isn't told the kind, so
// the same text under another kind does the same to it.
func SearchKey(service, query string, snapshot uint64, topK int) Key {
	d := digest(service, query)
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], d)
	binary.LittleEndian.PutUint64(b[8:], snapshot)
	binary.LittleEndian.PutUint64(b[16:], uint64(topK))
	return Key{Digest: d, FullDigest: xxhash.Sum64(b[:])}
}

// OrderDigest returns the digest of an order's content.
func OrderDigest(service, kind, key, payload string) uint64 {
	return digest(service, kind, key, payload)
}

// digest hashes the parts, each behind its length.
func digest(parts ...string) uint64 {
	h := xxhash.New()
	var n [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(p)
	}
	return h.Sum64()
}

// Rank orders names for a digest by rendezvous hashing: every process ranks alike.
func Rank(digest uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], digest)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}
