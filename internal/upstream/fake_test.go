package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

const (
	testLeaf    = "teachers-0-a"
	testAddress = "127.0.2.1:9001"
	connectTime = 6 * time.Millisecond
)

// fakeLeaf serves the leaf protocol over pipes, so that tests run on synctest's clock.
type fakeLeaf struct {
	srv *http.Server

	incarnation atomic.Uint64
	draining    atomic.Bool
	refuse      atomic.Bool
	executions  atomic.Int64
	// answer makes a search or order wait or fail; nil answers at once.
	answer atomic.Pointer[func(context.Context) error]
	// arrivals is set if the leaf reports its uptime and checks when calls arrive.
	arrivals atomic.Pointer[arrivals]

	mu sync.Mutex
	// pipes are the leaf's ends of its open connections, maxOpen their highest number; guarded by mu.
	pipes   []*fakePipe
	maxOpen int
	// listener of the running incarnation; guarded by mu.
	listener *pipeListener
}

// pipeListener is a net.Listener that accepts connections from a channel.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func newFakeLeaf(t *testing.T) *fakeLeaf {
	f := &fakeLeaf{}
	f.start(t, 1)
	return f
}

// start starts serving as a new incarnation.
func (f *fakeLeaf) start(t *testing.T, incarnation uint64) {
	f.incarnation.Store(incarnation)
	mux := http.NewServeMux()
	mux.Handle(burdockv1connect.NewLeafServiceHandler(f))
	srv := rpc.NewServer(mux)
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	f.mu.Lock()
	f.srv, f.listener = srv, l
	f.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
}

// crash stops the leaf abruptly and closes its connections.
func (f *fakeLeaf) crash() { _ = f.srv.Close(); f.refuse.Store(true) }

func (f *fakeLeaf) dial(ctx context.Context, _ string) (net.Conn, error) {
	time.Sleep(connectTime)
	near, far := net.Pipe()
	p := &fakePipe{Conn: far, leaf: f}
	f.mu.Lock()
	l := f.listener
	f.mu.Unlock()
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	if f.refuse.Load() {
		return nil, refused
	}
	select {
	case l.conns <- p:
	case <-l.closed:
		return nil, refused
	}
	f.mu.Lock()
	f.pipes = append(f.pipes, p)
	f.maxOpen = max(f.maxOpen, len(f.pipes))
	f.mu.Unlock()
	return near, ctx.Err()
}

// silenceAll makes the connections open now lose all bytes in both directions.
func (f *fakeLeaf) silenceAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pipes {
		p.silent.Store(true)
	}
}

// breakAll breaks the connections open now; the leaf keeps running.
func (f *fakeLeaf) breakAll() {
	f.mu.Lock()
	pipes := append([]*fakePipe(nil), f.pipes...)
	f.mu.Unlock()
	for _, p := range pipes {
		_ = p.Close()
	}
}

// pauseAll blocks the leaf's writes on the connections open now until resume is called.
func (f *fakeLeaf) pauseAll() (resume func()) {
	over := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pipes {
		p.paused.Store(&over)
	}
	return func() { close(over) }
}

func (f *fakeLeaf) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pipes)
}

// fakePipe is the leaf's end of a connection.
type fakePipe struct {
	net.Conn
	leaf   *fakeLeaf
	silent atomic.Bool
	// paused blocks the leaf's writes until the channel is closed; nil blocks nothing.
	paused atomic.Pointer[chan struct{}]
}

func (p *fakePipe) Read(b []byte) (int, error) {
	for {
		n, err := p.Conn.Read(b)
		if err != nil || !p.silent.Load() {
			return n, err
		}
	}
}

func (p *fakePipe) Write(b []byte) (int, error) {
	if c := p.paused.Load(); c != nil {
		<-*c
	}
	if p.silent.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

func (p *fakePipe) Close() error {
	p.leaf.mu.Lock()
	defer p.leaf.mu.Unlock()
	for i, o := range p.leaf.pipes {
		if o == p {
			p.leaf.pipes = append(p.leaf.pipes[:i], p.leaf.pipes[i+1:]...)
			break
		}
	}
	return p.Conn.Close()
}

func (f *fakeLeaf) wait(ctx context.Context) error {
	if f.draining.Load() {
		return refusal(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING, f.incarnation.Load())
	}
	if a := f.answer.Load(); a != nil {
		return (*a)(ctx)
	}
	return nil
}

func (f *fakeLeaf) Search(ctx context.Context, r *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	if a := f.arrivals.Load(); a != nil {
		if err := a.arrive(r.GetRequestId(), r.GetArriveBy(), f.incarnation.Load()); err != nil {
			return nil, err
		}
	}
	if err := f.wait(ctx); err != nil {
		return nil, err
	}
	return &pb.LeafSearchResponse{RequestId: r.GetRequestId()}, nil
}

func (f *fakeLeaf) Execute(ctx context.Context, r *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	if a := f.arrivals.Load(); a != nil {
		if err := a.arrive(r.GetRequestId(), r.GetArriveBy(), f.incarnation.Load()); err != nil {
			return nil, err
		}
	}
	f.executions.Add(1)
	if err := f.wait(ctx); err != nil {
		return nil, err
	}
	return &pb.LeafExecuteResponse{Ticket: r.GetTicket()}, nil
}

func (f *fakeLeaf) Status(context.Context, *pb.LeafStatusRequest) (*pb.LeafStatusResponse, error) {
	st := &pb.LeafStatusResponse{
		Leaf: testLeaf, Incarnation: f.incarnation.Load(), Draining: f.draining.Load(),
		Slots: 3, Snapshots: []uint64{7},
	}
	if a := f.arrivals.Load(); a != nil {
		st.Uptime = a.readUptime()
	}
	return st, nil
}

func (f *fakeLeaf) setAnswer(a func(context.Context) error) { f.answer.Store(&a) }

func refusal(reason pb.LeafRefusalReason, incarnation uint64) error {
	e := connect.NewError(connect.CodeUnavailable, errors.New("refused"))
	d, err := connect.NewErrorDetail(&pb.LeafRefusal{Reason: reason, Incarnation: incarnation})
	if err != nil {
		return err
	}
	e.AddDetail(d)
	return e
}

// fakeFeed is a feed.Source and a feed.Reporter.
type fakeFeed struct {
	mu sync.Mutex
	// view, changed and departures are guarded by mu.
	view       *feed.View
	changed    chan struct{}
	departures []*pb.Departure
	// stale makes FreshSince return false.
	stale atomic.Bool
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

func (f *fakeFeed) Fresh() bool               { return true }
func (f *fakeFeed) FreshSince(time.Time) bool { return !f.stale.Load() }

func (f *fakeFeed) publish(v *feed.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v.Received = time.Now()
	f.view = v
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) ReportDeparture(d *pb.Departure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures = append(f.departures, d)
}

func (f *fakeFeed) ReportCrash(*pb.Crash) {}

func (f *fakeFeed) SetState(pb.ProcessState) {}

func (f *fakeFeed) reported() []*pb.Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*pb.Departure(nil), f.departures...)
}

// testView is a view of one VM and one leaf.
func testView() *feed.View {
	l := &bundle.Leaf{ID: testLeaf, Zone: "az-1", Address: testAddress, Slots: 3, Connections: 30}
	s := &bundle.Service{Name: "teachers", Leaves: map[string]*bundle.Leaf{l.ID: l}}
	return &feed.View{VM: "vm-1", Zone: "az-1", Bundle: &bundle.Bundle{
		Services: map[string]*bundle.Service{s.Name: s},
	}}
}

// startPool runs a pool against the dial function until the test ends. It must be called in a
// synctest bubble.
func startPool(t *testing.T, dial func(context.Context, string) (net.Conn, error)) (*Pool, *fakeFeed) {
	f := &fakeFeed{view: &feed.View{}, changed: make(chan struct{})}
	p := NewPool(Config{VM: "vm-1"}, f, f, zap.NewNop(), nil)
	p.dial = dial
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	f.publish(testView())
	return p, f
}
