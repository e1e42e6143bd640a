package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/rpc"
)

// Config is what a Pool needs to know of its own VM.
type Config struct {
	// VM is the id of the pool's own VM.
	VM string
	// Bind is the IP number that connections come from.
	Bind string
}

// errUnknownLeaf says that the bundle in force has no such leaf.
var errUnknownLeaf = errors.New("unknown leaf")

// Pool owns the connections of one gather to the leaves of the services it serves.
type Pool struct {
	cfg      Config
	source   feed.Source
	reporter feed.Reporter
	log      *zap.Logger
	client   *http.Client

	mu sync.Mutex
	// leaves by id; guarded by mu.
	leaves map[string]*leaf
}

// leaf is one upstream of the pool.
type leaf struct {
	id     string
	client burdockv1connect.LeafServiceClient
	slots  int
}

// NewPool returns a pool without leaves; Run or ApplyView gives it some.
func NewPool(cfg Config, source feed.Source, reporter feed.Reporter, log *zap.Logger, _ prometheus.Registerer) *Pool {
	return &Pool{
		cfg: cfg, source: source, reporter: reporter, log: log,
		client: rpc.NewClient(cfg.Bind), leaves: make(map[string]*leaf),
	}
}

// Run applies the views of the source until ctx ends, and closes the pool then.
func (p *Pool) Run(ctx context.Context) error {
	defer p.Close()
	for {
		changed := p.source.Changed()
		p.ApplyView(p.source.Current())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// ApplyView takes in the leaves and the evidence of a view. Calls that run aren't cut.
func (p *Pool) ApplyView(v *feed.View) {
	if v.Bundle == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range v.Bundle.Services {
		for _, l := range s.Leaves {
			if p.leaves[l.ID] == nil {
				c := burdockv1connect.NewLeafServiceClient(p.client, "http://"+l.Address)
				p.leaves[l.ID] = &leaf{id: l.ID, client: c, slots: l.Slots}
			}
		}
	}
}

// Close closes all connections; calls that run are cut.
func (p *Pool) Close() { p.client.CloseIdleConnections() }

// Dump implements operator.Dumper.
func (p *Pool) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.leaves))
	for n := range p.leaves {
		names = append(names, n)
	}
	return names
}

// Search implements Caller.
func (p *Pool) Search(ctx context.Context, leaf string, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	l, err := p.leaf(leaf)
	if err != nil {
		return nil, err
	}
	res, cerr := l.client.Search(ctx, req)
	if cerr != nil {
		return nil, callError(leaf, cerr)
	}
	return res, nil
}

// Execute implements Caller.
func (p *Pool) Execute(ctx context.Context, leaf string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	l, err := p.leaf(leaf)
	if err != nil {
		return nil, err
	}
	res, cerr := l.client.Execute(ctx, req)
	if cerr != nil {
		return nil, callError(leaf, cerr)
	}
	return res, nil
}

// State implements Caller.
func (p *Pool) State(leaf string) (State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leaves[leaf]
	if !ok {
		return State{}, false
	}
	return State{Leaf: leaf, Connected: true, Slots: l.slots}, true
}

func (p *Pool) leaf(id string) (*leaf, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leaves[id]
	if !ok {
		return nil, &CallError{Leaf: id, Err: errUnknownLeaf}
	}
	return l, nil
}

func callError(leaf string, err error) *CallError {
	e := &CallError{Leaf: leaf, Wrote: true, Err: err}
	if r := refusalOf(err); r != nil {
		e.Refusal, e.Incarnation = r.GetReason(), r.GetIncarnation()
	}
	return e
}

// refusalOf returns the leaf's statement that it did not start the work, or nil.
func refusalOf(err error) *pb.LeafRefusal {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		v, derr := d.Value()
		if derr != nil {
			continue
		}
		if r, ok := v.(*pb.LeafRefusal); ok {
			return r
		}
	}
	return nil
}
