// Package rendezvous ranks names by rendezvous hashing, so that all processes choose the same one without agreement.
package rendezvous

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of a name for a digest. The greatest is chosen first.
func Rank(digest uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], digest)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}
