// Package platform is a stand-in for the platform's configuration service and its list of VMs and
// leaves, for tests, demo and bench. The system only reads it: keys with revisions, read and
// watched by long poll, and a list that may lag. Publishing, faults and read counts are on a
// separate control listener.
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

// Options say where a platform listens, both IP:PORT.
type Options struct {
	Listen  string
	Control string
}

// Platform owns the data, the faults and the two listeners.
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

// New opens both listeners; Run serves them.
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

// Run serves until ctx ends.
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

// PutList sets the list, whose Revision is ignored, and returns its revision.
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
