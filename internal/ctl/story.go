package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/decision"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/story"
)

// StoryCmd shows how one request was processed, from log files.
type StoryCmd struct {
	ID     string        `arg:"" help:"Id of the request."`
	Files  []string      `arg:"" help:"Log files of the VMs, in any order."`
	Around time.Duration `help:"How long before and after the request to look for what its VMs and leaves went through." default:"10s"`
}

// Run implements the command.
func (c *StoryCmd) Run(app *App) error {
	if c.Around < 0 {
		return usageErrorf("--around: want 0s or more, got %v", c.Around)
	}
	var lines []story.Line
	skipped := 0
	for _, name := range c.Files {
		log, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, log.Lines...)
		skipped += log.Skipped
	}
	selected, err := story.Collect(lines, c.ID, c.Around)
	var unknown *story.UnknownError
	if errors.As(err, &unknown) {
		return usageErrorf("%v (%d lines read, %d passed over)", err, len(lines), skipped)
	}
	if err != nil {
		return err
	}
	return app.print(newStoryReport(c.ID, selected))
}

// readLog reads the log file with the given name.
func readLog(name string) (*story.Log, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer func() { _ = f.Close() }()
	return story.Read(name, f)
}

// storyReport lists the log lines about a request. Times are relative to the first line that names the
// request.
type storyReport struct {
	ID    string      `json:"id"`
	Lines []storyLine `json:"lines"`
}

type storyLine struct {
	AfterSeconds float64        `json:"after_seconds"`
	VM           string         `json:"vm"`
	Msg          string         `json:"msg"`
	Own          bool           `json:"own"`
	Fields       map[string]any `json:"fields"`
	Where        string         `json:"where"`
	// Refusal says in a sentence why admission control refused the request; empty if it did not.
	Refusal string `json:"refusal,omitempty"`
}

// omittedFields are the fields that the report shows in columns of their own or that every line of a log has.
var omittedFields = []string{decision.FieldTime, decision.FieldVM, decision.FieldMsg, "level", "program"}

func newStoryReport(id string, lines []story.Line) storyReport {
	own := func(l story.Line) bool { return l.Fields[decision.FieldID] == id }
	first := lines[slices.IndexFunc(lines, own)].At
	r := storyReport{ID: id}
	for _, l := range lines {
		fields := make(map[string]any)
		for k, v := range l.Fields {
			if !slices.Contains(omittedFields, k) && !isEmpty(v) {
				fields[k] = v
			}
		}
		r.Lines = append(r.Lines, storyLine{
			AfterSeconds: l.At.Sub(first).Seconds(), VM: l.VM, Msg: l.Msg, Own: own(l), Fields: fields,
			Where:   fmt.Sprintf("%s:%d", l.File, l.Number),
			Refusal: refusalText(l.Fields),
		})
	}
	return r
}

// isEmpty reports whether a field is null, an empty string or 0.
func isEmpty(v any) bool { return v == nil || v == "" || v == json.Number("0") }

func (r storyReport) writeText(w io.Writer) {
	t := newTable(w)
	for _, l := range r.Lines {
		mark := " "
		if l.Own {
			mark = ">"
		}
		_, _ = fmt.Fprintf(t, "%s\t%+.3fs\t%s\t%s\t%s\n", mark, l.AfterSeconds, l.VM, l.Msg, fieldText(l.Fields))
	}
	_ = t.Flush()
	for _, l := range r.Lines {
		if l.Refusal != "" {
			_, _ = fmt.Fprintf(w, "%s %s\n", l.VM, l.Refusal)
		}
	}
}

// refusedBy says for each reason of admission control what the request would have waited for.
var refusedBy = map[dispatch.Reason]string{
	dispatch.ReasonBusyLeaves:    "the leaves were too busy",
	dispatch.ReasonBusyProcessor: "its processor was too busy",
	dispatch.ReasonBusyGatherers: "the VMs that make the calls of searches were too busy",
	dispatch.ReasonCallerShare:   "the caller had used its share",
}

// refusalText describes the refusal that a request's line reports, or returns "" if it reports none.
func refusalText(fields map[string]any) string {
	reason, _ := fields[decision.FieldReason].(string)
	cause := refusedBy[dispatch.Reason(reason)]
	if cause == "" || fields[decision.FieldOutcome] != string(dispatch.NotRun) {
		return ""
	}
	text := "refused the request: " + cause
	if _, ok := fields[decision.FieldWaitLimit]; !ok {
		return text + "."
	}
	return fmt.Sprintf("%s. The expected wait was %.0f ms; requests of priority %.0f are admitted up to %.0f ms. "+
		"There were %.1f of them per second.", text, 1000*number(fields, decision.FieldWait), number(fields, decision.FieldPriority),
		1000*number(fields, decision.FieldWaitLimit), number(fields, decision.FieldDemand))
}

// number returns the value of a field, or 0 if it is not a number.
func number(fields map[string]any, name string) float64 {
	n, _ := fields[name].(json.Number)
	f, err := n.Float64()
	if err != nil {
		return 0
	}
	return f
}

// fieldText formats the fields as name=value, sorted by name.
func fieldText(fields map[string]any) string {
	var out []string
	for k, v := range fields {
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(fmt.Sprint(v))
		}
		out = append(out, k+"="+string(text))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
