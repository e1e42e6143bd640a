package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Options of a run.
type Options struct {
	Seed uint64
	Size Size
	// Program is the path of burdock-node.
	Program string
	// Net is the second number of the loopback addresses 127.NET.x.y; runs beside each other need their own.
	Net int
	// Out is the directory in which a run leaves its report and, where it failed, its logs.
	Out string
	// Keep keeps the logs of a run without violations, too.
	Keep bool
}

// Report is what a run came to.
type Report struct {
	Seed       uint64        `json:"seed"`
	Elapsed    time.Duration `json:"took_ns"`
	Violations []Violation   `json:"violations"`
	// Uninjected are faults that could not be injected; they make no verdict.
	Uninjected []string       `json:"uninjected"`
	Events     []string       `json:"events"`
	Calls      map[string]int `json:"calls"`
	// Sent are all calls, Served those that got a success.
	Sent      int    `json:"asked"`
	Served    int    `json:"served"`
	Runs      int    `json:"runs"`
	Versions  int    `json:"versions"`
	Directory string `json:"directory"`
}

// Failed tells whether a promise was broken.
func (r *Report) Failed() bool { return len(r.Violations) > 0 }

// Play plays one seed. The error says that it could not be played; broken promises are in the report.
func Play(ctx context.Context, o Options) (*Report, error) {
	start := time.Now()
	dir := filepath.Join(o.Out, fmt.Sprintf("seed-%d", o.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, eris.Wrap(err, "soak: directory of the run")
	}
	tb, err := newTestbed(o, dir)
	if err != nil {
		return nil, eris.Wrap(err, "soak: set up")
	}
	plan := NewPlan(o.Seed, o.Size)
	h, err := tb.run(ctx, plan)
	if err != nil {
		return nil, eris.Wrap(err, "soak: play")
	}
	r := newReport(o, h, plan, tb.errs, dir)
	r.Elapsed = time.Since(start)
	return r, r.save(h, o.Keep)
}

func newReport(o Options, h *History, plan []Event, uninjected []string, dir string) *Report {
	r := &Report{
		Seed: o.Seed, Violations: Check(h), Uninjected: uninjected, Calls: make(map[string]int), Runs: len(h.Runs),
		Versions: len(h.Configs), Sent: len(h.Calls), Directory: dir,
	}
	for _, e := range plan {
		r.Events = append(r.Events, e.String())
	}
	for i := range h.Calls {
		c := &h.Calls[i]
		key := fmt.Sprintf("%s %d", c.Kind, c.Status)
		if c.Status == 0 {
			key = fmt.Sprintf("%s without an answer", c.Kind)
		}
		r.Calls[key]++
		if c.Status == http.StatusOK {
			r.Served++
		}
	}
	return r
}

// save writes the report and what was seen, and drops the logs of a run that nothing is wrong with.
func (r *Report) save(h *History, keep bool) error {
	if !r.Failed() && !keep {
		if err := os.RemoveAll(r.Directory); err != nil {
			return eris.Wrap(err, "soak: drop logs")
		}
		r.Directory = ""
		return nil
	}
	if err := saveJSON(filepath.Join(r.Directory, "history.json"), h); err != nil {
		return err
	}
	return saveJSON(filepath.Join(r.Directory, "report.json"), r)
}

func saveJSON(file string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return eris.Wrapf(err, "soak: encode %s", file)
	}
	return eris.Wrapf(os.WriteFile(file, text, 0o600), "soak: write %s", file)
}

// WriteText tells the report in words.
func (r *Report) WriteText(w io.Writer) {
	verdict := "passed"
	if r.Failed() {
		verdict = "FAILED"
	}
	_, _ = fmt.Fprintf(w, "seed %d %s: %d events, %d versions, %d of %d requests served, %d calls to leaves, %.0f s\n",
		r.Seed, verdict, len(r.Events), r.Versions, r.Served, r.Sent, r.Runs, r.Elapsed.Seconds())
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(w, "  broken: %s: %s\n", v.Check, v.Detail)
	}
	for _, u := range r.Uninjected {
		_, _ = fmt.Fprintf(w, "  not injected: %s\n", u)
	}
	if r.Failed() {
		_, _ = fmt.Fprintf(w, "  logs: %s; again: burdock-soak replay %d\n", r.Directory, r.Seed)
	}
}
