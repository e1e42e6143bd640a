// Package compare combines the results of a benchmark. It shows each case as a ratio to the calm case
// and to the baseline policy of the same repetition, with the spread over the repetitions. Absolute
// times depend on the machine and on what else runs there.
package compare

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/load"
)

// The names that a benchmark uses for its results.
const (
	calmCase       = "calm"
	baselinePolicy = "baseline"
	partCase       = "case"
	partBack       = "back"
	afterPhase     = "after"
	resultSuffix   = ".json"
)

// Run is one case under one policy in one repetition.
type Run struct {
	Repetition string `json:"repetition"`
	Case       string `json:"case"`
	Policy     string `json:"policy"`
	// During is the result during the case, AfterFault the result after its fault had ended. Each is
	// nil if there is none.
	During     *load.Result `json:"during"`
	AfterFault *load.Result `json:"back,omitempty"`
}

// Bench holds all runs of a benchmark, in the order in which their results were written.
type Bench struct {
	Runs []*Run `json:"runs"`
}

// Read reads the results in a directory, from files named REPETITION,CASE,POLICY.PART.json. PART is
// case or back. It returns an error for any other JSON file.
func Read(dir string) (*Bench, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+resultSuffix))
	if err != nil {
		return nil, eris.Wrap(err, "compare: list")
	}
	slices.SortFunc(files, compareFiles)
	b := &Bench{}
	for _, f := range files {
		if err := b.read(f); err != nil {
			return nil, eris.Wrapf(err, "compare: %s", filepath.Base(f))
		}
	}
	return b, nil
}

// compareFiles orders files by modification time, which is the order of the cases.
func compareFiles(a, b string) int {
	ia, errA := os.Stat(a)
	ib, errB := os.Stat(b)
	if errA != nil || errB != nil {
		return strings.Compare(a, b)
	}
	return ia.ModTime().Compare(ib.ModTime())
}

func (b *Bench) read(file string) error {
	name := strings.TrimSuffix(filepath.Base(file), resultSuffix)
	stem, part := name[:max(0, strings.LastIndex(name, "."))], name[strings.LastIndex(name, ".")+1:]
	fields := strings.Split(stem, ",")
	if len(fields) != 3 || part != partCase && part != partBack {
		return eris.New("want REPETITION,CASE,POLICY.PART.json")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	var r load.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return eris.Wrap(err, "decode")
	}
	run := b.run(fields[0], fields[1], fields[2])
	if part == partBack {
		run.AfterFault = &r
	} else {
		run.During = &r
	}
	return nil
}

// run returns the run with the names, and adds it if there is none.
func (b *Bench) run(repetition, name, policy string) *Run {
	if r := b.find(repetition, name, policy); r != nil {
		return r
	}
	r := &Run{Repetition: repetition, Case: name, Policy: policy}
	b.Runs = append(b.Runs, r)
	return r
}

// find returns the run with the names, or nil.
func (b *Bench) find(repetition, name, policy string) *Run {
	for _, r := range b.Runs {
		if r.Repetition == repetition && r.Case == name && r.Policy == policy {
			return r
		}
	}
	return nil
}
