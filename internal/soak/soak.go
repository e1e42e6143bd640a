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

// Options are the options of a run.
type Options struct {
	Seed uint64
	Size Size
	// Program is the path of burdock-node.
	Program string
	// Net is the second octet of the loopback addresses 127.NET.x.y. Concurrent runs need different values.
	Net int
	// Out is the directory in which a run creates its own directory. That keeps the report, the history and the
	// logs if the run failed or Keep is set.
	Out string
	// Keep also keeps the files of a run without violations.
	Keep bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64        `json:"seed"`
	Elapsed    time.Duration `json:"took_ns"`
	Violations []Violation   `json:"violations"`
	// Uninjected lists the faults that could not be injected. They do not fail the run.
	Uninjected []string       `json:"uninjected"`
	Events     []string       `json:"events"`
	Calls      map[string]int `json:"calls"`
	// Sent is the number of requests that callers sent, Served the number that succeeded.
	Sent      int    `json:"asked"`
	Served    int    `json:"served"`
	Runs      int    `json:"runs"`
	Versions  int    `json:"versions"`
	Directory string `json:"directory"`
}

// Failed reports whether a guarantee was broken.
func (r *Report) Failed() bool { return len(r.Violations) > 0 }

// Play runs the plan of one seed. It returns an error if the run could not be carried out or saved; violations are in
// the report.
func Play(ctx context.Context, o Options) (*Report, error) {
	start := time.Now()
	dir := filepath.Join(o.Out, fmt.Sprintf("seed-%d", o.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, eris.Wrap(err, "soak: create directory of the run")
	}
	tb, err := newTestbed(o, dir)
	if err != nil {
		return nil, eris.Wrap(err, "soak: set up")
	}
	plan := NewPlan(o.Seed, o.Size)
	h, err := tb.run(ctx, plan)
	if err != nil {
		return nil, eris.Wrap(err, "soak: run plan")
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

// save writes the report and the history. It deletes the directory of a run without violations instead, unless keep is
// set.
func (r *Report) save(h *History, keep bool) error {
	if !r.Failed() && !keep {
		if err := os.RemoveAll(r.Directory); err != nil {
			return eris.Wrap(err, "soak: delete logs")
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

// WriteText writes the report as text.
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
