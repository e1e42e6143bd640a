package gather

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// fakeFeed is a feed.Source with a settable view, and a feed.Reporter that records the reported
// states.
type fakeFeed struct {
	mu      sync.Mutex
	view    *feed.View
	changed chan struct{}
	stale   bool
	states  []pb.ProcessState
}

func newFakeFeed(version uint64) *fakeFeed {
	f := &fakeFeed{changed: make(chan struct{})}
	f.set(version)
	return f
}

// set puts a bundle of the version in force.
func (f *fakeFeed) set(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = &feed.View{Bundle: &bundle.Bundle{Version: version, Callers: map[string]*bundle.Caller{
		"desk": {Name: "desk", Services: []string{"teachers"}},
	}}}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) Current() *feed.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeFeed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeFeed) Fresh() bool                   { return !f.stale }
func (f *fakeFeed) FreshSince(time.Time) bool     { return f.Fresh() }
func (f *fakeFeed) ReportDeparture(*pb.Departure) {}
func (f *fakeFeed) ReportCrash(*pb.Crash)         {}
func (f *fakeFeed) SetState(s pb.ProcessState)    { f.states = append(f.states, s) }

// slowBackend answers searches and orders after a delay.
type slowBackend struct {
	burdockv1connect.UnimplementedTicketPeerServiceHandler
	time    time.Duration
	drained bool
}

func (s *slowBackend) Search(ctx context.Context, _ *pb.Identity, _ *pb.SearchRequest) (*pb.SearchResponse, error) {
	time.Sleep(s.time)
	return &pb.SearchResponse{}, ctx.Err()
}

func (s *slowBackend) IssueTicket(context.Context, *pb.GatherIssueTicketRequest) (*pb.GatherIssueTicketResponse, error) {
	return &pb.GatherIssueTicketResponse{}, nil
}

func (s *slowBackend) Order(context.Context, *pb.GatherOrderRequest) (*pb.GatherOrderResponse, error) {
	time.Sleep(s.time)
	return nil, errors.New("something else")
}

func (s *slowBackend) Drain(context.Context) { s.drained = true }

func identity(caller string, version uint64) *pb.Identity {
	return &pb.Identity{RequestId: "r1", Caller: caller, BundleVersion: version}
}

func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		id      *pb.Identity
		service string
		before  func(f *fakeFeed, d *Admitter)
		reason  pb.Reason
		waited  time.Duration
	}{
		"known caller":                    {id: identity("desk", 3)},
		"entry with an older bundle":      {id: identity("desk", 2)},
		"entry with a newer bundle":       {id: identity("desk", 4), reason: pb.Reason_REASON_NO_BUNDLE, waited: 200 * time.Millisecond},
		"newer bundle comes in time":      {id: identity("desk", 4), before: func(f *fakeFeed, _ *Admitter) { time.AfterFunc(50*time.Millisecond, func() { f.set(4) }) }, waited: 50 * time.Millisecond},
		"unknown caller":                  {id: identity("stranger", 3), reason: pb.Reason_REASON_UNAUTHENTICATED},
		"service not the caller's":        {id: identity("desk", 3), service: "clips", reason: pb.Reason_REASON_UNKNOWN_SERVICE},
		"no request id":                   {id: &pb.Identity{Caller: "desk"}, reason: pb.Reason_REASON_INVALID_REQUEST},
		"no identity":                     {reason: pb.Reason_REASON_INVALID_REQUEST},
		"no fresh view, as after a pause": {id: identity("desk", 3), before: func(f *fakeFeed, _ *Admitter) { f.stale = true }, reason: pb.Reason_REASON_PAUSED},
		"draining":                        {id: identity("desk", 3), before: func(_ *fakeFeed, d *Admitter) { d.Close() }, reason: pb.Reason_REASON_DRAINING},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeFeed(3)
				d := NewAdmitter(f, 200*time.Millisecond)
				if tt.before != nil {
					tt.before(f, d)
				}
				if tt.service == "" {
					tt.service = "teachers"
				}
				start := time.Now()
				leave, err := d.Admit(context.Background(), tt.id, tt.service)
				is.Equal(time.Since(start), tt.waited)
				e, refused := outcome.As(err)
				is.Equal(refused, tt.reason != pb.Reason_REASON_UNSPECIFIED)
				if refused {
					is.Equal(e.Reason, tt.reason)
					is.Equal(e.Kind, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
				} else {
					leave()
				}
				_, running := d.state()
				is.Equal(running, 0)
			})
		})
	}
}

// leavesAttempted is an Upstreams whose leaves have all been attempted.
type leavesAttempted struct{}

func (leavesAttempted) Initialized() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// leavesPending is an Upstreams whose leaves count as attempted when the channel is closed.
type leavesPending chan struct{}

func (u leavesPending) Initialized() <-chan struct{} { return u }

func TestReadyOnlyAfterLeavesWereAttempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, work, leaves := newFakeFeed(3), &slowBackend{}, make(leavesPending)
		m := NewManager(DefaultSettings(), zap.NewNop(), prometheus.NewRegistry(), f, f, work, work, work, leaves)
		m.listening.Store(true)
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.announce(t.Context())
		}()
		synctest.Wait()
		ready, why := m.Ready()
		is.True(!ready)
		is.Equal(why, "leaves not tried yet")
		is.Equal(len(f.states), 0) // no state was reported to the other VMs
		close(leaves)
		<-done
		ready, _ = m.Ready()
		is.True(ready)
		is.Equal(f.states, []pb.ProcessState{pb.ProcessState_PROCESS_STATE_READY})
	})
}

func TestDrainFinishesRunningWorkAndRefusesNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, work := newFakeFeed(3), &slowBackend{time: 5 * time.Second}
		s := DefaultSettings()
		m := NewManager(s, zap.NewNop(), prometheus.NewRegistry(), f, f, work, work, work, leavesAttempted{})
		service := NewService(m.admitter, work, work, NewMetrics(prometheus.NewRegistry()))
		search := &pb.GatherSearchRequest{Identity: identity("desk", 3), Search: &pb.SearchRequest{Service: "teachers"}}
		ended := make(chan error, 1)
		go func() {
			_, err := service.Search(context.Background(), search)
			ended <- err
		}()
		synctest.Wait()
		start := time.Now()
		drained := make(chan time.Duration, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.Drain.Limit.D())
			defer cancel()
			m.Drain(ctx)
			drained <- time.Since(start)
		}()
		synctest.Wait()
		is.Equal(f.states, []pb.ProcessState{pb.ProcessState_PROCESS_STATE_DRAINING}) // reported at once
		ready, _ := m.Ready()
		is.True(!ready)
		_, err := service.Search(context.Background(), search)
		e, ok := outcome.FromConnect(err)
		is.True(ok)
		is.Equal(e.Kind, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
		is.Equal(e.Reason, pb.Reason_REASON_DRAINING)
		is.True(e.RetryAfter > 0)
		_, err = service.Order(context.Background(), &pb.GatherOrderRequest{}) // the order manager decides
		e, _ = outcome.FromConnect(err)
		is.Equal(e.Kind, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN) // an order with an unknown end is never reported as not run
		is.NoErr(<-ended)
		is.Equal(<-drained, work.time) // longer than the notice
		is.True(work.drained)
		is.Equal(f.states[1], pb.ProcessState_PROCESS_STATE_GONE)
	})
}

func TestDrainListensDuringTheNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, work := newFakeFeed(3), &slowBackend{}
		s := DefaultSettings()
		m := NewManager(s, zap.NewNop(), prometheus.NewRegistry(), f, f, work, work, work, leavesAttempted{})
		start := time.Now()
		m.Drain(context.Background())
		is.Equal(time.Since(start), s.Drain.Notice.D())
	})
}

func TestInvalidSettingsAreReportedWithPosition(t *testing.T) {
	vm := "[vm]\nid = \"vm-1\"\nzone = \"az-1\"\nbind = \"127.0.1.1\"\n"
	tests := map[string]string{
		vm:                                      "",
		vm + "[gather]\nport = 0":               "f.toml:6: gather.port: want a port from 1 to 65535, got 0",
		vm + "[drain]\nnotice = \"40s\"":        "f.toml: drain.limit: want more than drain.notice, got 30s",
		vm + "[search]\nmax_waiting = \"many\"": "f.toml:6: search.max_waiting",
		vm + "[quarantine]\nfirst_run = \"sometimes\"":       "f.toml:6: quarantine.first_run: want always, evidence or never, got \"sometimes\"",
		vm + "[quarantine]\nfirst = \"always\"":              "f.toml:6: quarantine.first: unknown key",
		"[vm]\nid = \"vm-1\"\nzone = \"az-1\"\nbind = \"x\"": "f.toml:4: vm.bind: want an IP number, got \"x\"",
	}
	for text, want := range tests {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			err := settings.Parse("f.toml", []byte(text), DefaultSettings())
			if want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(len(err.Error()) >= len(want) && err.Error()[:len(want)] == want)
		})
	}
}
