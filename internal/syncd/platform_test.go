package syncd

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/platform"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// fakePlatform holds one manifest, its sections and the list.
type fakePlatform struct {
	f *fleet

	mu sync.Mutex
	// The fields below are guarded by mu.
	changed chan struct{}
	values  map[string]platform.Value
	// down makes reads block and then fail, refusing makes them fail at once.
	down     bool
	refusing bool
	cutZones map[string]bool
	cutVMs   map[string]bool
	reads    int
}

func newFakePlatform(f *fleet) *fakePlatform {
	return &fakePlatform{
		f: f, changed: make(chan struct{}), values: make(map[string]platform.Value),
		cutZones: make(map[string]bool), cutVMs: make(map[string]bool),
	}
}

const listKey = "list"

func (p *fakePlatform) put(key string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = platform.Value{Revision: p.values[key].Revision + 1, Body: body, Changed: true}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) publish(signed *pb.SignedManifest, text []byte) {
	for _, sec := range bundle.Split(text) {
		p.put(sectionPrefix+bundle.SectionDigest(sec).String(), sec)
	}
	encoded, err := proto.Marshal(signed)
	if err != nil {
		p.f.t.Fatal(err)
	}
	p.put(manifestKey, encoded)
}

func (p *fakePlatform) publishList(text []byte) { p.put(listKey, text) }

func (p *fakePlatform) nextListRevision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[listKey].Revision + 1
}

// set changes the injected faults.
func (p *fakePlatform) set(change func(p *fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) readCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// nodePlatform is the platform as seen by one sync.
type nodePlatform struct {
	p  *fakePlatform
	nd *node
}

func (n *nodePlatform) read(ctx context.Context, key string, after uint64, maxWait time.Duration) (platform.Value, error) {
	end := time.Now().Add(maxWait)
	n.p.mu.Lock()
	n.p.reads++
	n.p.mu.Unlock()
	n.p.f.mu.Lock()
	answers := latency + n.p.f.read
	n.p.f.mu.Unlock()
	if !wait.For(ctx, answers) {
		return platform.Value{}, ctx.Err()
	}
	for {
		n.p.mu.Lock()
		v, changed := n.p.values[key], n.p.changed
		refused := n.p.refusing
		cut := n.p.down || n.p.cutZones[n.nd.zone] || n.p.cutVMs[n.nd.id]
		n.p.mu.Unlock()
		remaining := time.Until(end)
		switch {
		case refused:
			return platform.Value{}, errUnreachable
		case cut:
			wait.For(ctx, 2*time.Second)
			return platform.Value{}, errUnreachable
		case v.Revision > after:
			return v, nil
		case remaining <= 0 && v.Revision == 0:
			return platform.Value{}, platform.ErrNotFound
		case remaining <= 0:
			return platform.Value{Revision: v.Revision}, nil
		}
		t := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
			return platform.Value{}, ctx.Err()
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

func (n *nodePlatform) Get(ctx context.Context, key string) (platform.Value, error) {
	return n.read(ctx, key, 0, 0)
}

func (n *nodePlatform) Watch(ctx context.Context, key string, after uint64, maxWait time.Duration) (platform.Value, error) {
	return n.read(ctx, key, after, maxWait)
}

func (n *nodePlatform) List(ctx context.Context) (platform.Value, error) {
	return n.read(ctx, listKey, 0, 0)
}

func (n *nodePlatform) WatchList(ctx context.Context, after uint64, maxWait time.Duration) (platform.Value, error) {
	return n.read(ctx, listKey, after, maxWait)
}
