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

// DepartureKey identifies the evidence that one incarnation of an upstream is leaving. A departure is
// never withdrawn: another incarnation of the upstream has another key.
type DepartureKey struct {
	Leaf string
	// Incarnation is 0 if the source does not know it.
	Incarnation uint64
}

// departure is the newest observation of one departure.
type departure struct {
	// seenAt is the local time at which its age was 0.
	seenAt time.Time
	source pb.DepartureSource
	vm     string
}

// KeyOfDeparture returns the key of d.
func KeyOfDeparture(d *pb.Departure) DepartureKey {
	return DepartureKey{Leaf: d.GetLeaf(), Incarnation: d.GetIncarnation()}
}

func (k DepartureKey) ttl() time.Duration {
	if k.Incarnation == 0 {
		return RefusalTTL
	}
	return DepartureTTL
}

func (k DepartureKey) less(o DepartureKey) bool {
	if k.Leaf != o.Leaf {
		return k.Leaf < o.Leaf
	}
	return k.Incarnation < o.Incarnation
}

func (k DepartureKey) hash() uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte("d"+k.Leaf), k.Incarnation))
}

func newDeparture(d *pb.Departure, now time.Time) departure {
	return departure{seenAt: now.Add(-max(d.GetAge().AsDuration(), 0)), source: d.GetSource(), vm: d.GetVm()}
}

// compare orders observations of one departure. The newer one wins. Ties are broken by source and VM; any
// total order would do.
func (d departure) compare(o departure) int {
	return cmp.Or(d.seenAt.Compare(o.seenAt), cmp.Compare(d.source, o.source), cmp.Compare(d.vm, o.vm))
}

// mergeDeparture stores d if it is newer than the stored observation and reports whether that is an
// update for other VMs: a new departure, or a refusal confirmed after confirmationInterval or more. A
// departure whose age has reached its TTL is ignored. Requires mu.
func (s *Set) mergeDeparture(key DepartureKey, d departure, now time.Time) (isNew bool) {
	if key.Leaf == "" || now.Sub(d.seenAt) >= key.ttl() {
		return false
	}
	existing, ok := s.departures[key]
	if ok && d.compare(existing) <= 0 {
		return false
	}
	s.departures[key] = d
	return !ok || key.Incarnation == 0 && d.seenAt.Sub(existing.seenAt) >= confirmationInterval
}

// Departure returns the departure of a key with its age at now, or nil if the set does not hold it.
func (s *Set) Departure(key DepartureKey, now time.Time) *pb.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.departures[key]
	if !ok {
		return nil
	}
	return d.proto(key, now)
}

// Departures returns all departures with their ages at now, sorted by leaf and incarnation.
func (s *Set) Departures(now time.Time) []*pb.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*pb.Departure, 0, len(s.departures))
	for k, d := range s.departures {
		out = append(out, d.proto(k, now))
	}
	slices.SortFunc(out, func(a, b *pb.Departure) int {
		return cmp.Or(cmp.Compare(a.GetLeaf(), b.GetLeaf()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()))
	})
	return out
}

func (d departure) proto(key DepartureKey, now time.Time) *pb.Departure {
	return &pb.Departure{
		Leaf: key.Leaf, Incarnation: key.Incarnation, Source: d.source, Vm: d.vm,
		Age: durationpb.New(roundAge(now.Sub(d.seenAt))),
	}
}

// roundAge rounds an age up to whole milliseconds, which shortens its encoded form. It never makes an age
// smaller, except that it turns a negative one into 0.
func roundAge(age time.Duration) time.Duration {
	return max(age+time.Millisecond-1, 0).Truncate(time.Millisecond)
}
