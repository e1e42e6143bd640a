// Package quarantine limits how many upstreams one request can crash across the whole fleet to a few.
// Content that no leaf has answered yet runs on one leaf first. Content that was in flight at two
// crashes is refused.
package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a request by its content.
type Key struct {
	// Digest covers the service and the content, and for orders also the kind. Crash evidence is
	// indexed by it.
	Digest uint64
	// FullDigest covers everything that can change what a leaf does with the request: the content,
	// the snapshot and the number of hits. A request counts as proven by its FullDigest.
	FullDigest uint64
}

// SearchKey returns the key of a search. The kind is not part of the key: leaves do not receive it,
// so the same text has the same effect on a leaf under any kind.
func SearchKey(service, query string, snapshot uint64, topK int) Key {
	d := digest(service, query)
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], d)
	binary.LittleEndian.PutUint64(b[8:], snapshot)
	binary.LittleEndian.PutUint64(b[16:], uint64(topK))
	return Key{Digest: d, FullDigest: xxhash.Sum64(b[:])}
}

// OrderDigest returns the digest of an order's service, kind, key and payload.
func OrderDigest(service, kind, key, payload string) uint64 {
	return digest(service, kind, key, payload)
}

// digest hashes the parts, each prefixed with its length.
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
