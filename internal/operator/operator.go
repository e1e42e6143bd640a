// Package operator serves the operators' listener of each process: /live, /ready, /metrics and
// /dump. It is apart from the callers' listener, on loopback by default, and shows no secret.
package operator

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/negroni/v3"
)

// NewRegistry returns a metric registry with the runtime's own collectors.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Dumper shows the state of one duty. The value is encoded as JSON and must hold no secret.
type Dumper interface {
	Dump() any
}

// DumpFunc makes a function a Dumper.
type DumpFunc func() any

// Dump implements Dumper.
func (f DumpFunc) Dump() any { return f() }

// Readiness tells whether a process takes new work, and why not.
type Readiness func() (ready bool, why string)

// Dumps collects the dumpers of a process by the name of their duty.
type Dumps struct {
	mu sync.Mutex
	// byName is guarded by mu.
	byName map[string]Dumper
}

// NewDumps returns an empty collection.
func NewDumps() *Dumps { return &Dumps{byName: make(map[string]Dumper)} }

// Add registers the dumper of a duty, in place of an earlier one of the name.
func (d *Dumps) Add(name string, dumper Dumper) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byName[name] = dumper
}

// names returns the duties in order.
func (d *Dumps) names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.byName))
	for n := range d.byName {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Collect returns the state of all duties.
func (d *Dumps) Collect() map[string]any {
	all := make(map[string]any)
	for _, n := range d.names() {
		d.mu.Lock()
		dumper := d.byName[n]
		d.mu.Unlock()
		all[n] = dumper.Dump()
	}
	return all
}

// Handler serves probes, metrics and dump.
func Handler(reg *prometheus.Registry, dumps *Dumps, ready Readiness) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("live\n"))
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, ready) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { serveDump(w, dumps) })
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(mux)
	return n
}

func serveReady(w http.ResponseWriter, ready Readiness) {
	ok, why := ready()
	if !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func serveDump(w http.ResponseWriter, dumps *Dumps) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(dumps.Collect()); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
