package compare

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/load"
)

// write writes the result of a run with a single kind, which has the given p99.
func write(t *testing.T, dir, name, phase string, p99 float64) {
	t.Helper()
	r := load.Result{Kinds: []load.KindResult{{
		Phase: phase, Service: "teachers", Kind: "dawn", Answered: load.Quantiles{Count: 1, P99: p99},
		Outcomes: map[string]uint64{"not_run/overload": 2, "not_run/queue_full": 3, "failed/deadline": 1},
	}}}
	data, err := json.Marshal(r)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, name), data, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestRatiosAreWithinOneRepetition(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	for repetition, calm := range map[string]float64{"1": 10, "2": 20} {
		write(t, dir, repetition+",calm,adaptive.case.json", partCase, calm)
		write(t, dir, repetition+",straggler,adaptive.case.json", partCase, 2*calm)
		write(t, dir, repetition+",straggler,adaptive.back.json", afterPhase, calm)
		write(t, dir, repetition+",straggler,baseline.case.json", partCase, 8*calm)
	}
	b, err := Read(dir)
	is.NoErr(err)
	r := b.find("2", "straggler", "adaptive")
	k := r.During.Kinds[0]
	toCalm, ok := b.ratioToCalm(r, r.During, partCase, k)
	is.True(ok)
	is.Equal(toCalm, 2.0)
	toBaseline, ok := b.ratioToBaseline(r, k)
	is.True(ok)
	is.Equal(toBaseline, 0.25)
	after, ok := b.ratioToCalm(r, r.AfterFault, afterPhase, k)
	is.True(ok)
	is.Equal(after, 1.0)
	_, ok = b.ratioToCalm(b.find("2", "straggler", "baseline"), nil, partCase, k)
	is.True(!ok) // no calm case of that policy
	is.Equal(countOutcome(k.Outcomes, "not_run"), uint64(5))
	var table strings.Builder
	is.NoErr(b.WriteTable(&table, "teachers"))
	is.True(strings.Contains(table.String(), "2.00"))
}

func TestReadRefusesOtherFiles(t *testing.T) {
	for _, name := range []string{"calm.json", "1,calm.case.json", "1,calm,adaptive.other.json"} {
		is := is.New(t)
		dir := t.TempDir()
		write(t, dir, name, partCase, 1)
		_, err := Read(dir)
		is.True(err != nil) // a name that isn't a result's
	}
}

func TestSpread(t *testing.T) {
	is := is.New(t)
	is.Equal(spreadOf([]float64{3, 1, 2}).String(), "2.00 [1.00-3.00]")
	is.Equal(spreadOf([]float64{1}).String(), "1.00")
	is.Equal(spreadOf(nil).String(), "0.00")
}
