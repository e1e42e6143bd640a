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

// CrashKey names one crash of an upstream with one request in flight. VMs that saw the same crash
// have the same key.
type CrashKey struct {
	RequestDigest uint64
	Leaf          string
	Incarnation   uint64
}

// crash is the newest sight of it.
type crash struct {
	// seenAt is the local time at which its age was 0.
	seenAt time.Time
	// alone is true where any VM saw no other request in flight there.
	alone bool
	// answered is true where any VM knows that a leaf has answered the request.
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

// hash covers the key and whether the request was answered.
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

// mergeCrash joins c to what is held, and tells whether that is news; mu is held.
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

// Crash returns one crash with its age as it is sent, or nil.
func (s *Set) Crash(key CrashKey, now time.Time) *pb.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.crashes[key]
	if !ok {
		return nil
	}
	return c.proto(key, now)
}

// Crashes returns all with their ages, by request, leaf and incarnation.
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

// CrashCounts returns for each request digest how many distinct crashes it was in flight at.
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
