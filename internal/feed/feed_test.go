package feed

import (
	"crypto/ed25519"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

var start = time.Unix(1000, 0)

func newManager() *Manager {
	return New(Config{VM: "vm-1", Bundles: bundle.NewFollowerStore(nil), Log: zap.NewNop(), Registry: prometheus.NewRegistry()})
}

func viewOf(t *testing.T, version int) *pb.View {
	t.Helper()
	text := fmt.Appendf(nil, `version = %d
[limits]
max_query_bytes = 4096
max_top_k = 100
max_timeout = "10s"
[[caller]]
name = "desk"
token_sha256 = "0000000000000000000000000000000000000000000000000000000000000007"
services = ["teachers"]
[[service]]
name = "teachers"
[[service.kind]]
name = "dawn"
mode = "search"
timeout = "1s"
[[service.leaf]]
id = "teachers-0-a"
zone = "az-1"
address = "127.0.2.1:9001"
slots = 3
connections = 30
[[service.snapshot]]
version = 1
[[service.snapshot.shard]]
id = 0
documents = 1000
leaves = ["teachers-0-a"]
`, version)
	signed, err := bundle.Sign(text, bundle.Digest{}, ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)))
	if err != nil {
		t.Fatal(err)
	}
	return &pb.View{Manifest: signed, BundleText: text, BundleVersion: uint64(version), Vms: []*pb.Vm{{Id: "vm-1"}}}
}

func TestViewsNeverDowngradeTheBundle(t *testing.T) {
	is := is.New(t)
	m := newManager()
	broken := viewOf(t, 9)
	broken.BundleText = append(broken.BundleText, '#')
	steps := []struct {
		view *pb.View
		want uint64
	}{
		{viewOf(t, 2), 2}, {viewOf(t, 1), 2}, {&pb.View{}, 2}, {viewOf(t, 3), 3}, {broken, 3}, {viewOf(t, 3), 3},
	}
	for _, s := range steps {
		m.apply(s.view, start, start)
		is.Equal(m.Current().Bundle.Version, s.want)
	}
	is.Equal(m.Current().HighestVersion, uint64(9)) // announced, though not in force
}

func TestUnchangedViewKeepsTheListsAndTheirAge(t *testing.T) {
	is := is.New(t)
	m := newManager()
	is.Equal(m.Current().VM, "vm-1") // never nil
	changed := m.Changed()
	m.apply(viewOf(t, 1), start, start)
	<-changed
	changed = m.Changed()
	m.apply(&pb.View{Unchanged: true}, start, start.Add(time.Second))
	v := m.Current()
	is.Equal(len(v.VMs), 1)
	is.Equal(v.Received, start)
	is.Equal(v.Heard, start.Add(time.Second))
	is.Equal(v.PlatformAge, NeverReached)
	select {
	case <-changed:
		t.Error("woken without a change")
	default:
	}
}

func TestQueuedReportsKeepTheirAge(t *testing.T) {
	is := is.New(t)
	q := newReportQueue()
	is.True(q.addDeparture(&pb.Departure{Leaf: "a"}, start))
	is.True(q.addCrash(&pb.Crash{RequestDigest: 1, Leaf: "a"}, start))
	departures, crashes := q.take()
	is.True(q.addDeparture(&pb.Departure{Leaf: "a", Vm: "newer"}, start.Add(time.Second)))
	q.requeue(departures, crashes) // the sync was unreachable
	departures, crashes = q.take()
	is.Equal(len(departures), 1)
	for _, d := range departures {
		is.Equal(d.withAge(start.Add(3*time.Second)).GetAge().AsDuration(), 2*time.Second)
		is.Equal(d.departure.GetVm(), "newer")
	}
	for _, c := range crashes {
		is.Equal(c.withAge(start.Add(3*time.Second)).GetAge().AsDuration(), 3*time.Second)
	}
}

func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	q := newReportQueue()
	for i := range uint64(maxQueued) {
		is.True(q.addCrash(&pb.Crash{RequestDigest: i}, start))
	}
	is.True(!q.addCrash(&pb.Crash{RequestDigest: maxQueued}, start))
	is.True(q.addCrash(&pb.Crash{RequestDigest: 0}, start)) // already queued
}

// TestViewIsAsOldAsTheSyncsCheck guards against work by an old view that was read late: its freshness
// counts from the sync's check, by the VM's boot time.
func TestViewIsAsOldAsTheSyncsCheck(t *testing.T) {
	const booted = time.Hour
	for name, tt := range map[string]struct {
		asOf  *durationpb.Duration
		age   time.Duration
		fresh bool
	}{
		"at once":                {durationpb.New(booted), 0, true},
		"late":                   {durationpb.New(booted - FreshFor + 100*time.Millisecond), FreshFor - 100*time.Millisecond, true},
		"too late":               {durationpb.New(booted - FreshFor - time.Millisecond), FreshFor + time.Millisecond, false},
		"of a later time":        {durationpb.New(booted + time.Second), 0, true},
		"of a sync without date": {nil, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newManager()
			m.cfg.BootTime = func() time.Duration { return booted }
			now := time.Now()
			m.apply(&pb.View{AsOf: tt.asOf}, now, now)
			is.Equal(now.Sub(m.Current().Heard), tt.age)
			is.Equal(m.Fresh(), tt.fresh)
		})
	}
}
