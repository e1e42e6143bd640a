// Package operator serves the operators' listener of each process: /live, /ready, /metrics and
// /dump. It is separate from the callers' listener, on loopback by default, and exposes no secret.
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

// NewRegistry returns a metric registry with the collectors of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Dumper returns the state of one duty. The value is encoded as JSON and must not contain secrets.
type Dumper interface {
	Dump() any
}

// DumpFunc is an adapter that makes a function a Dumper.
type DumpFunc func() any

// Dump implements Dumper.
func (f DumpFunc) Dump() any { return f() }

// Readiness reports whether a process accepts new work, and the reason if it does not.
type Readiness func() (ready bool, reason string)

// Dumps holds the dumpers of a process by the name of their duty. It is safe for concurrent use.
type Dumps struct {
	mu sync.Mutex
	// byName holds the dumpers by the name of their duty; guarded by mu.
	byName map[string]Dumper
}

// NewDumps returns an empty collection.
func NewDumps() *Dumps { return &Dumps{byName: make(map[string]Dumper)} }

// Add registers the dumper of a duty and replaces an earlier one with the same name.
func (d *Dumps) Add(name string, dumper Dumper) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byName[name] = dumper
}

// names returns the sorted names of the duties.
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

// Collect returns the state of all duties by name. It does not hold mu while a dumper runs.
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

// Handler returns the HTTP handler of the probes, the metrics and the dump.
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
	ok, reason := ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
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
