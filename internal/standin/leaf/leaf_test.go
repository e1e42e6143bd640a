package leaf

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/settings"
)

const testSettings = `
id = "teachers-0-a"
service = "teachers"
listen = "127.0.0.1:0"
control = "127.0.0.1:0"
connections = 2
restart_after = "1h"
`

// serve runs a leaf on loopback until the test ends.
func serve(t *testing.T) *Leaf {
	t.Helper()
	var s Settings
	if err := settings.Parse("leaf.toml", []byte(testSettings), &s); err != nil {
		t.Fatal(err)
	}
	l, err := New(s, zap.NewNop(), Restart)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

func http2Client(l *Leaf) burdockv1connect.LeafServiceClient {
	return burdockv1connect.NewLeafServiceClient(rpc.NewClient(""), "http://"+l.Addr())
}

func TestServesBothVersionsOfHTTP(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	http1 := &http.Client{Transport: &http.Transport{}}
	defer http1.CloseIdleConnections()
	for _, c := range []burdockv1connect.LeafServiceClient{
		http2Client(l), burdockv1connect.NewLeafServiceClient(http1, "http://"+l.Addr()),
	} {
		res, err := c.Status(t.Context(), &pb.LeafStatusRequest{})
		is.NoErr(err)
		is.Equal(res.GetIncarnation(), l.incarnation())
		is.Equal(res.GetSnapshots(), []uint64{1})
		is.Equal([]uint32{res.GetSlots(), res.GetConnectionLimit()}, []uint32{3, 2})
	}
	counts := l.Log().Counts
	is.Equal([]int{counts.ConnectionsNow, counts.ConnectionsMax}, []int{2, 2})
	_, err := http2Client(l).Status(t.Context(), &pb.LeafStatusRequest{})
	is.True(err != nil) // a third connection is beyond the limit
	is.Equal(l.Log().Counts.ConnectionsRefused > 0, true)
}

func TestDrainRefusesWithDetailAndClosesConnections(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	incarnation := l.incarnation()
	is.NoErr(l.SetFaults(Faults{Drain: true}))
	req := &pb.LeafSearchRequest{Service: "teachers", Snapshot: 1, Query: "maths"}
	_, err := http2Client(l).Search(t.Context(), req)
	is.Equal(refusalOf(err).GetReason(), pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING)
	is.Equal(refusalOf(err).GetIncarnation(), incarnation)
	res, err := http.Post("http://"+l.Addr()+burdockv1connect.LeafServiceStatusProcedure, "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.True(res.Close) // Connection: close on HTTP/1.1
	is.NoErr(l.SetFaults(Faults{}))
	is.True(l.incarnation() != incarnation) // the end of a drain counts as a restart
	_, err = http2Client(l).Search(t.Context(), req)
	is.NoErr(err)
}

func TestDrainEndsIdleConnections(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	_, err := http2Client(l).Status(t.Context(), &pb.LeafStatusRequest{})
	is.NoErr(err)
	is.Equal(l.Log().Counts.ConnectionsNow, 1)
	is.NoErr(l.SetFaults(Faults{Drain: true}))
	for l.Log().Counts.ConnectionsNow > 0 {
		time.Sleep(time.Millisecond) // GOAWAY comes without another call
	}
}

func TestDrainWaitsForCallsInFlight(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	is.NoErr(l.SetFaults(Faults{HoldExecute: settings.Duration(200 * time.Millisecond)}))
	answered := make(chan error, 1)
	go func() {
		_, err := http2Client(l).Execute(context.Background(), &pb.LeafExecuteRequest{Service: "teachers", Ticket: "t1"})
		answered <- err
	}()
	for len(l.Log().Executions) == 0 {
		time.Sleep(time.Millisecond)
	}
	l.Drain(t.Context())
	running, _ := l.slots.load()
	is.Equal(running, 0)
	is.NoErr(<-answered) // the drain did not end the call
}

func TestDeadlineAndCancellationReachRunningCalls(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	is.NoErr(l.SetFaults(Faults{HoldExecute: settings.Duration(time.Hour)}))
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan error, 1)
	req := &pb.LeafExecuteRequest{Service: "teachers", Ticket: "t1"}
	go func() {
		_, err := http2Client(l).Execute(ctx, req)
		cancelled <- err
	}()
	for len(l.Log().Executions) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.Equal(connect.CodeOf(<-cancelled), connect.CodeCanceled)
	late, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := http2Client(l).Execute(late, req)
	is.Equal(connect.CodeOf(err), connect.CodeDeadlineExceeded)
	for running, _ := l.slots.load(); running > 0; running, _ = l.slots.load() {
		time.Sleep(time.Millisecond) // cancellation ends the calls, which would take an hour
	}
}

func TestCrashInGroupMakesLeafUnreachableUntilRestart(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	incarnation := l.incarnation()
	is.NoErr(l.SetFaults(Faults{CrashMark: "boom"}))
	client := http2Client(l)
	_, err := client.Search(t.Context(), &pb.LeafSearchRequest{Service: "teachers", Snapshot: 1, Query: "go boom"})
	is.True(err != nil)
	is.Equal(refusalOf(err), nil)
	_, err = client.Status(t.Context(), &pb.LeafStatusRequest{})
	is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
	is.True(strings.Contains(err.Error(), "connection refused"))
	is.NoErr(l.SetFaults(Faults{})) // clearing the faults does not end the crash
	_, err = client.Status(t.Context(), &pb.LeafStatusRequest{})
	is.True(err != nil)
	l.restoreAfterCrash()
	res, err := client.Status(t.Context(), &pb.LeafStatusRequest{})
	is.NoErr(err)
	is.True(res.GetIncarnation() != incarnation)
	log := l.Log()
	is.Equal(log.Counts.Crashes, uint64(1))
	is.Equal(len(log.Searches), 1) // the marked search started
}

// TestConcurrentMarkedRequestsCrashLeafOnce covers marked requests that start before the first of them has
// crashed the leaf: requests with the same text count as one crash of the incarnation.
func TestConcurrentMarkedRequestsCrashLeafOnce(t *testing.T) {
	is := is.New(t)
	l, err := newLeaf(Settings{ID: "teachers-0-a", Slots: 3, Queue: new(int)}, zap.NewNop(), func(*Leaf) {})
	is.NoErr(err)
	f := &Faults{CrashMark: "boom"}
	l.crashIfMarked(f, "first", "go boom")
	l.crashIfMarked(f, "second", "go boom")
	is.Equal(l.journal.snapshot().Counts.Crashes, uint64(1))
	l.crashIfMarked(f, "third", "another boom")
	is.Equal(l.journal.snapshot().Counts.Crashes, uint64(2)) // another text counts separately
	l.renewIncarnation()
	l.crashIfMarked(f, "fourth", "another boom")
	is.Equal(l.journal.snapshot().Counts.Crashes, uint64(3)) // so does another incarnation
}

func TestControlReplacesFaultsAndClearsLog(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	put := func(path, body string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+l.ControlAddr()+path, strings.NewReader(body))
		is.NoErr(err)
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		return res.StatusCode
	}
	is.Equal(put("/faults", `{"slow_factor":20,"slow_share":0.5,"hold_execute":"200ms","report":{"utilisation":0.1,"in_flight":0}}`), 200)
	is.Equal(l.Faults().SlowFactor, 20.0)
	is.Equal(put("/faults", `{"stall":true}`), 200)
	is.Equal(l.Faults(), Faults{Stall: true})
	is.Equal(put("/faults", `{"stal":true}`), 400)
	is.Equal(put("/faults", `{}`), 200)
	is.Equal(put("/snapshots", `[4,5]`), 200)
	is.Equal(l.Snapshots(), []uint64{4, 5})
	_, err := http2Client(l).Search(t.Context(), &pb.LeafSearchRequest{Service: "teachers", Snapshot: 5})
	is.NoErr(err)
	is.Equal(l.Log().Counts.Searches, uint64(1))
	l.ClearLog()
	log := l.Log()
	is.Equal(log.Counts.Searches, uint64(0))
	is.Equal(len(log.Searches), 0)
	is.Equal(log.Counts.ConnectionsMax, 1) // an open connection still counts
}

func TestSettingsRefused(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"no slots", testSettings + "slots = -1\n", "f.toml:8: slots: want at least 1, got -1"},
		{"no id", "service = \"s\"\n", "f.toml: id: want a name of a-z, 0-9, '.' and '-', got \"\""},
		{"host name", strings.Replace(testSettings, "127.0.0.1:0", "localhost:1", 1), "f.toml:4: listen: want IP:PORT, got \"localhost:1\""},
		{"unknown key", testSettings + "slot = 1\n", "f.toml:8: slot: unknown key"},
		{"negative time", testSettings + "cold_start = \"-1s\"\n", "f.toml:8: cold_start: want at least 0, got -1s"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s Settings
			err := settings.Parse("f.toml", []byte(c.text), &s)
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}

func TestGroupSettingsRefused(t *testing.T) {
	is := is.New(t)
	var g GroupSettings
	two := "[[leaf]]" + testSettings + "[[leaf]]" + testSettings
	err := settings.Parse("f.toml", []byte(two), &g)
	is.True(err != nil)
	is.True(strings.HasSuffix(err.Error(), `leaf.id: [[leaf]] number 2: "teachers-0-a" is taken by number 1`))
	g = GroupSettings{}
	is.NoErr(settings.Parse("f.toml", []byte(strings.Replace(two, "0-a", "0-b", 1)), &g))
	is.Equal(len(g.Leaves), 2)
	is.Equal(g.Leaves[1].Slots, defaultSlots)
	is.Equal(*g.Leaves[1].Queue, defaultQueue)
}
