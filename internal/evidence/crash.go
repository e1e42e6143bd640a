package evidence

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// CrashKey identifies one crash of an upstream with one request in flight. All VMs that observe the
// same crash use the same key.
type CrashKey struct {
	RequestDigest uint64
	Leaf          string
	Incarnation   uint64
}

// crash is the merged evidence of one crash.
type crash struct {
	// seenAt is the local time at which the age of the newest observation was 0.
	seenAt time.Time
	// alone is true if any VM observed no other request in flight at the upstream.
	alone bool
	// answered is true if any VM knows that a leaf has answered the request.
	answered bool
}

// KeyOfCrash returns the key of c.
func KeyOfCrash(c *pb.Crash) CrashKey {
	return CrashKey{RequestDigest: c.GetRequestDigest(), Leaf: c.GetLeaf(), Incarnation: c.GetIncarnation()}
}

func (k CrashKey) less(o CrashKey) bool {
	c := cmp.Or(cmp.Compare(k.RequestDigest, o.RequestDigest), cmp.Compare(k.Leaf, o.Leaf), cmp.Compare(k.Incarnation, o.Incarnation))
	return c < 0
}

// hash returns a hash of the key and of whether the request was answered.
func (c crash) hash(k CrashKey) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte("c"+k.Leaf), k.RequestDigest)
	b = binary.LittleEndian.AppendUint64(b, k.Incarnation)
	if c.answered {
		b = append(b, 'a')
	}
	return xxhash.Sum64(b)
}

func newCrash(c *pb.Crash, now time.Time) crash {
	return crash{seenAt: now.Add(-max(c.GetAge().AsDuration(), 0)), alone: c.GetAlone(), answered: c.GetAnswered()}
}

// mergeCrash merges c into the set and reports whether that is an update for other VMs: a new crash, or
// alone or answered set for the first time. A crash of age CrashTTL or more is ignored. Requires mu.
func (s *Set) mergeCrash(key CrashKey, c crash, now time.Time) (isNew bool) {
	if key.Leaf == "" || now.Sub(c.seenAt) >= CrashTTL {
		return false
	}
	existing, ok := s.crashes[key]
	if ok && existing.seenAt.After(c.seenAt) {
		c.seenAt = existing.seenAt
	}
	isNew = !ok || c.alone && !existing.alone || c.answered && !existing.answered
	c.alone, c.answered = c.alone || existing.alone, c.answered || existing.answered
	s.crashes[key] = c
	return isNew
}

// Crash returns the crash of a key with its age at now, or nil if the set does not hold it.
func (s *Set) Crash(key CrashKey, now time.Time) *pb.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.crashes[key]
	if !ok {
		return nil
	}
	return c.proto(key, now)
}

// Crashes returns all crashes with their ages at now, sorted by request, leaf and incarnation.
func (s *Set) Crashes(now time.Time) []*pb.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*pb.Crash, 0, len(s.crashes))
	for k, c := range s.crashes {
		out = append(out, c.proto(k, now))
	}
	slices.SortFunc(out, func(a, b *pb.Crash) int {
		if KeyOfCrash(a).less(KeyOfCrash(b)) {
			return -1
		}
		return 1
	})
	return out
}

func (c crash) proto(key CrashKey, now time.Time) *pb.Crash {
	return &pb.Crash{
		RequestDigest: key.RequestDigest, Leaf: key.Leaf, Incarnation: key.Incarnation, Alone: c.alone, Answered: c.answered,
		Age: durationpb.New(roundAge(now.Sub(c.seenAt))),
	}
}

// CrashCounts returns, by request digest, the number of distinct crashes that the request was in flight
// at.
func CrashCounts(crashes []*pb.Crash) map[uint64]int {
	distinct := make(map[CrashKey]bool, len(crashes))
	counts := make(map[uint64]int)
	for _, c := range crashes {
		key := KeyOfCrash(c)
		if !distinct[key] {
			distinct[key] = true
			counts[key.RequestDigest]++
		}
	}
	return counts
}
