package leafpool

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
)

func TestProbe(t *testing.T) {
	for name, tt := range map[string]struct {
		dialErr error
		// ends closes the new connection at once, unknown probes a leaf that the pool does not know.
		ends, unknown bool
		want          leafcall.Reachability
	}{
		"reached":                 {want: leafcall.Reached},
		"refused":                 {dialErr: &leafcall.Error{Cause: leafcall.NoConnection, Refused: true}, want: leafcall.Refused},
		"no response":             {dialErr: &leafcall.Error{Cause: leafcall.NoConnection, Err: errors.New("timeout")}, want: leafcall.NoResponse},
		"taken and ended at once": {ends: true, want: leafcall.NotTried},
		"unknown":                 {unknown: true, want: leafcall.NotTried},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDialer()
				d.dialErr, d.endNew = tt.dialErr, tt.ends
				p := New(d, "z", noLimit, prometheus.NewRegistry())
				if !tt.unknown {
					p.SetLeaves([]catalog.Leaf{nearLeaf}, map[string]int{"x": 4}, sharedBy(1))
				}
				is.Equal(p.Probe(t.Context(), nearLeaf.ID), tt.want)
				_, open := p.Free(nearLeaf.ID)
				is.Equal(open, tt.want == leafcall.Reached) // kept for a call
			})
		})
	}
}

// A leaf at its limit resets connections. It is not probed again at once.
func TestProbeDoesNotPressALeafAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDialer()
		d.endNew = true
		p := New(d, "z", noLimit, prometheus.NewRegistry())
		p.SetLeaves([]catalog.Leaf{nearLeaf}, map[string]int{"x": 4}, sharedBy(1))
		for range 5 {
			is.Equal(p.Probe(t.Context(), nearLeaf.ID), leafcall.NotTried)
		}
		is.Equal(d.count("near"), 1)
	})
}

// All connections that this VM may have to the leaf are in use.
func TestProbeKeepsTheLimit(t *testing.T) {
	is := is.New(t)
	d := newDialer()
	p := New(d, "z", noLimit, prometheus.NewRegistry())
	p.SetLeaves([]catalog.Leaf{nearLeaf}, map[string]int{"x": 1}, sharedBy(1))
	is.Equal(p.Probe(t.Context(), nearLeaf.ID), leafcall.Reached)
	is.Equal(p.Probe(t.Context(), nearLeaf.ID), leafcall.NotTried)
	is.Equal(d.count("near"), 1)
}

// Only a leaf that was reached and did not answer counts as ended.
func TestAsk(t *testing.T) {
	for name, tt := range map[string]struct {
		dialErr error
		unknown bool
		want    leafcall.Reachability
	}{
		"answered": {want: leafcall.Answered},
		"refused":  {dialErr: &leafcall.Error{Cause: leafcall.NoConnection, Refused: true}, want: leafcall.Refused},
		"unknown":  {unknown: true, want: leafcall.NotTried},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDialer()
			d.dialErr = tt.dialErr
			p := New(d, "z", noLimit, prometheus.NewRegistry())
			if !tt.unknown {
				p.SetLeaves([]catalog.Leaf{nearLeaf}, map[string]int{"x": 4}, sharedBy(1))
			}
			is.New(t).Equal(p.Ask(t.Context(), nearLeaf.ID, "/health"), tt.want)
		})
	}
}
