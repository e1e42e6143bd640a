// Package platform is a stand-in for the platform's configuration service and its list of VMs and
// leaves, for tests, the demo and benchmarks. The system has read-only access: to keys with revisions,
// which it reads or watches by long poll, and to a list that may lag. A separate control listener
// serves publishing, faults and read counts.
package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockplank/burdockplank/internal/standin/control"
	"github.com/burdockplank/burdockplank/internal/standin/listener"
)

// Options are the addresses that a platform listens on, both IP:PORT.
type Options struct {
	Listen  string
	Control string
}

// Platform owns the data, the faults and the two listeners. It is safe for concurrent use.
type Platform struct {
	store *store
	reads *readCounter
	hang  gate

	listener *listener.Listener
	control  net.Listener

	mu sync.Mutex
	// faults is guarded by mu.
	faults Faults
}

// New opens both listeners. Run serves them.
func New(o Options) (*Platform, error) {
	l, err := listener.Listen(o.Listen, listener.Options{})
	if err != nil {
		return nil, err
	}
	c, err := net.Listen("tcp", o.Control)
	if err != nil {
		_ = l.Close()
		return nil, eris.Wrap(err, "standin.platform: control listener")
	}
	p := newPlatform()
	p.listener, p.control = l, c
	return p, nil
}

// newPlatform returns a platform without listeners.
func newPlatform() *Platform {
	return &Platform{store: newStore(time.Now), reads: newReadCounter()}
}

// Addr returns the address that the system reads from.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// ControlAddr returns the address of the control listener.
func (p *Platform) ControlAddr() string { return p.control.Addr().String() }

// Run serves both listeners until ctx ends, then closes all connections.
func (p *Platform) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return control.Serve(ctx, p.control, p.controlHandler()) })
	g.Go(func() error { return p.serveReads(ctx) })
	return g.Wait()
}

func (p *Platform) serveReads(ctx context.Context) error {
	s := &http.Server{Handler: p.readHandler(), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "standin.platform: serve")
	}
	return nil
}

// PutKey sets a key and returns its revision.
func (p *Platform) PutKey(key string, data []byte) uint64 { return p.store.put(key, data) }

// PutList sets the list and returns its new revision. It ignores l.Revision.
func (p *Platform) PutList(l List) uint64 { return p.store.putList(l) }

// Reads returns the read counts.
func (p *Platform) Reads() Reads { return p.reads.snapshot() }

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.store.setFaults(f.StaleRevision, f.ListLag.D())
	p.hang.setClosed(f.Hang)
	p.listener.SetCut(f.CutSources)
	if err := p.listener.SetDown(f.Down); err != nil {
		return err
	}
	if f.Down {
		p.listener.ResetConns()
	}
	return nil
}
