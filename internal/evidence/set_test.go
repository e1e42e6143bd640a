package evidence

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

var testStart = time.Unix(1000, 0)

func departed(leaf string, incarnation uint64, age time.Duration) []*pb.Departure {
	return []*pb.Departure{{Leaf: leaf, Incarnation: incarnation, Source: pb.DepartureSource_DEPARTURE_SOURCE_GOAWAY, Age: durationpb.New(age)}}
}

func crashed(digest uint64, leaf string, incarnation uint64, age time.Duration) []*pb.Crash {
	return []*pb.Crash{{RequestDigest: digest, Leaf: leaf, Incarnation: incarnation, Age: durationpb.New(age)}}
}

func TestDepartures(t *testing.T) {
	tests := []struct {
		name        string
		incarnation uint64
		// confirmed holds the times after the first observation at which the departure is observed again.
		// validFor is how long the departure is then kept, counted from the first observation.
		confirmed []time.Duration
		validFor  time.Duration
	}{
		{"departure of an incarnation", 7, nil, DepartureTTL},
		{"confirmed departure of an incarnation", 7, []time.Duration{time.Hour}, DepartureTTL + time.Hour},
		{"refusal", 0, nil, RefusalTTL},
		{"confirmed refusal", 0, []time.Duration{3 * time.Second, 6 * time.Second}, 6*time.Second + RefusalTTL},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			is.Equal(len(s.Merge(departed("a", tt.incarnation, 0), nil, testStart).Departures), 1)
			for _, at := range tt.confirmed {
				s.Merge(departed("a", tt.incarnation, 0), nil, testStart.Add(at))
			}
			is.True(!s.Expire(testStart.Add(tt.validFor - 1)))
			is.Equal(len(s.Departures(testStart)), 1)
			is.True(s.Expire(testStart.Add(tt.validFor)))
			is.Equal(len(s.Departures(testStart)), 0)
		})
	}
}

func TestDepartureAppliesToItsIncarnationOnly(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Merge(departed("a", 1, 0), nil, testStart)
	updates := s.Merge(departed("a", 2, 0), nil, testStart)
	is.Equal(updates.Departures, []DepartureKey{{Leaf: "a", Incarnation: 2}})
	is.Equal(len(s.Departures(testStart)), 2) // the first is not withdrawn
}

func TestAgesAreKeptAcrossMerges(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Merge(departed("a", 0, 4*time.Second), nil, testStart)
	is.Equal(s.Departures(testStart)[0].GetAge().AsDuration(), 4*time.Second)
	is.True(s.Expire(testStart.Add(time.Second)))
	is.True(s.Merge(departed("a", 0, RefusalTTL), nil, testStart).Empty()) // expired on arrival
	is.True(s.Merge(nil, crashed(1, "a", 1, CrashTTL), testStart).Empty())
}

func TestCrashesCountOncePerLeafAndIncarnation(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Merge(nil, crashed(1, "a", 1, 0), testStart)
	is.True(s.Merge(nil, crashed(1, "a", 1, time.Second), testStart).Empty()) // the same crash, observed by another VM
	s.Merge(nil, crashed(1, "a", 2, 0), testStart)
	s.Merge(nil, crashed(1, "b", 1, 0), testStart.Add(time.Second))
	s.Merge(nil, crashed(2, "b", 1, 0), testStart)
	is.Equal(CrashCounts(s.Crashes(testStart)), map[uint64]int{1: 3, 2: 1})
	s.Expire(testStart.Add(CrashTTL))
	is.Equal(CrashCounts(s.Crashes(testStart)), map[uint64]int{1: 1})
}

// TestWordOfAnAnswerIsNews: an answer report for a known crash is an update, and the hashes differ until
// both sides have it.
func TestWordOfAnAnswerIsNews(t *testing.T) {
	is := is.New(t)
	s, other := New(), New()
	c := crashed(1, "a", 1, 0)
	s.Merge(nil, c, testStart)
	other.Merge(nil, c, testStart)
	is.Equal(s.Hash(testStart), other.Hash(testStart))
	answered := crashed(1, "a", 1, 0)
	answered[0].Answered = true
	is.Equal(len(s.Merge(nil, answered, testStart).Crashes), 1)
	is.True(s.Hash(testStart) != other.Hash(testStart))
	is.True(s.Merge(nil, c, testStart).Empty()) // a VM that does not know of the answer does not withdraw it
	is.True(s.Crashes(testStart)[0].GetAnswered())
}

func TestLimitsDropTheOldest(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range uint64(MaxCrashes + 1) {
		s.Merge(nil, crashed(i, "a", 1, 0), testStart.Add(time.Duration(i)))
	}
	_, n := s.Len()
	is.Equal(n, MaxCrashes)
	is.Equal(s.Crash(CrashKey{RequestDigest: 0, Leaf: "a", Incarnation: 1}, testStart), nil)
}

// item is one item of evidence.
type item struct {
	departures []*pb.Departure
	crashes    []*pb.Crash
}

func genItem(t *rapid.T) item {
	leaf := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "leaf")
	incarnation := rapid.Uint64Range(0, 2).Draw(t, "incarnation")
	age := time.Duration(rapid.IntRange(0, 8).Draw(t, "age")) * time.Second
	if rapid.Bool().Draw(t, "crash") {
		c := crashed(rapid.Uint64Range(1, 2).Draw(t, "digest"), leaf, incarnation, age)
		c[0].Alone, c[0].Answered = rapid.Bool().Draw(t, "alone"), rapid.Bool().Draw(t, "answered")
		return item{crashes: c}
	}
	d := departed(leaf, incarnation, age)
	d[0].Vm = rapid.SampledFrom([]string{"v", "w"}).Draw(t, "vm")
	return item{departures: d}
}

// merged returns a set with all items merged in order.
func merged(items []item) *Set {
	s := New()
	for _, it := range items {
		s.Merge(it.departures, it.crashes, testStart)
	}
	return s
}

// contents returns the text of all evidence in a set.
func contents(s *Set) (out []string) {
	for _, d := range s.Departures(testStart) {
		out = append(out, d.String())
	}
	for _, c := range s.Crashes(testStart) {
		out = append(out, c.String())
	}
	return out
}

func TestMergeOrderAndRepetitionDoNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		items := rapid.SliceOfN(rapid.Custom(genItem), 0, 12).Draw(rt, "pieces")
		shuffled := rapid.Permutation(items).Draw(rt, "shuffled")
		one, other := merged(items), merged(append(shuffled, items...))
		is.Equal(contents(one), contents(other))
		is.Equal(one.Hash(testStart), other.Hash(testStart))
		// Merging whole sets gives the same result as merging single items.
		cut := rapid.IntRange(0, len(items)).Draw(rt, "cut")
		left, right := merged(items[:cut]), merged(items[cut:])
		right.Merge(left.Departures(testStart), left.Crashes(testStart), testStart)
		is.Equal(contents(one), contents(right))
	})
}
