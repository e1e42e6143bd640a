// Package losses tells from log lines where answers were lost, or worth less than whole ones in time: how many
// requests by cause and by time, with ids to begin a walk at.
package losses

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/decision"
	"github.com/burdockplank/burdockplank/internal/story"
)

// maxIDs is how many requests of a cause are named.
const maxIDs = 3

// Cause is what befell requests, and how many.
type Cause struct {
	// Name is the outcome with its reason, and for an answer without some shards what those were missing for.
	Name     string
	Requests int
	// Late is how many of them were answered after the target.
	Late int
	// IDs of the first of them.
	IDs []string
}

// Summary is what was lost.
type Summary struct {
	// Causes, the most frequent first.
	Causes []Cause
	// DroppedLines counts lines that the volume limit left out: requests are at least as many as said.
	DroppedLines int64
}

// request is what a line says of a request.
type request struct {
	id, outcome, reason, gatherer string
	elapsed, target               float64
	badCalls                      []string
}

// Summarize returns the ledger of the lines between two times; a zero time is no bound.
func Summarize(lines []story.Line, from, to time.Time) *Summary {
	summary := new(Summary)
	causes := make(map[string]*Cause)
	for i := range lines {
		line := &lines[i]
		if !from.IsZero() && line.At.Before(from) || !to.IsZero() && !line.At.Before(to) {
			continue
		}
		switch line.Msg {
		case decision.MsgLeftOut:
			summary.DroppedLines += int64(number(line.Fields[decision.FieldLines]))
		case decision.MsgRequest:
			countRequest(causes, parseRequest(line))
		}
	}
	for _, c := range causes {
		summary.Causes = append(summary.Causes, *c)
	}
	slices.SortFunc(summary.Causes, func(a, b Cause) int { return cmp.Or(b.Requests-a.Requests, strings.Compare(a.Name, b.Name)) })
	return summary
}

// countRequest counts a request under its cause; one that was whole and in time, or that another VM's line tells of, has
// none.
func countRequest(causes map[string]*Cause, r *request) {
	late := r.target > 0 && r.elapsed > r.target
	name := causeOf(r)
	if r.gatherer != "" || name == "" && !late {
		return
	}
	if name == "" {
		name = "served late"
	}
	c := causes[name]
	if c == nil {
		c = &Cause{Name: name}
		causes[name] = c
	}
	c.Requests++
	if late {
		c.Late++
	}
	if len(c.IDs) < maxIDs {
		c.IDs = append(c.IDs, r.id)
	}
}

// causeOf names what a request lacks; empty for a whole answer.
func causeOf(r *request) string {
	switch {
	case r.outcome != "served":
		return strings.TrimRight(r.outcome+": "+r.reason, ": ")
	case r.reason == "partial":
		return "partial: " + mainFailure(r.badCalls)
	}
	return ""
}

// failureKinds of bad calls from the one that explains most to the one that explains least.
var failureKinds = []string{"no budget for a repeat", "no connection free", "no answer yet", "refused", "no connection"}

// mainFailure returns the kind of bad call that explains best why a shard is missing.
func mainFailure(badCalls []string) string {
	for _, k := range failureKinds {
		if slices.Contains(badCalls, k) {
			return k
		}
	}
	if len(badCalls) == 0 {
		return "not told"
	}
	return "failed calls"
}

func parseRequest(line *story.Line) *request {
	text := func(name string) string {
		s, _ := line.Fields[name].(string)
		return s
	}
	r := &request{
		id: text(decision.FieldID), outcome: text(decision.FieldOutcome), reason: text(decision.FieldReason),
		gatherer: text(decision.FieldGatherer),
		elapsed:  number(line.Fields[decision.FieldTook]), target: number(line.Fields[decision.FieldTarget]),
	}
	calls, _ := line.Fields[decision.FieldBadCalls].([]any)
	for _, c := range calls {
		if fields, ok := c.(map[string]any); ok {
			what, _ := fields[decision.FieldWhat].(string)
			r.badCalls = append(r.badCalls, what)
		}
	}
	return r
}

// number returns a field that is a number, 0 where it is none.
func number(v any) float64 {
	n, _ := v.(json.Number)
	f, err := n.Float64()
	if err != nil {
		return 0
	}
	return f
}
