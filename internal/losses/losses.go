// Package losses counts, from log lines, the requests that got no answer, a partial answer or a late one. It
// groups them by cause within a time range and names the first request ids of each cause as starting points for
// an investigation.
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

// maxIDs is the maximum number of request ids listed per cause.
const maxIDs = 3

// Cause counts the requests that were lost or degraded for one cause.
type Cause struct {
	// Name is the outcome with its reason. For a partial answer it is why shards are missing.
	Name     string
	Requests int
	// Late counts those of the requests that were answered after their target latency.
	Late int
	// IDs holds the ids of the first maxIDs requests.
	IDs []string
}

// Summary holds the lost and degraded requests by cause.
type Summary struct {
	// Causes is sorted by number of requests, the most frequent first.
	Causes []Cause
	// DroppedLines counts the log lines that were dropped by the log's volume limit. If it isn't 0, the numbers of
	// requests are lower bounds.
	DroppedLines int64
}

// request is one parsed log line of a request. elapsed and target are in seconds.
type request struct {
	id, outcome, reason, gatherer string
	elapsed, target               float64
	badCalls                      []string
}

// Summarize returns the summary of the lines from the time from, inclusive, to the time to, exclusive. A zero
// time is no bound.
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

// countRequest counts a request under its cause. It ignores a request that was answered wholly and in time, and a
// line that names another VM as gatherer, because that VM's own line counts the request.
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

// causeOf returns the name of the cause, or "" for a whole answer.
func causeOf(r *request) string {
	switch {
	case r.outcome != "served":
		return strings.TrimRight(r.outcome+": "+r.reason, ": ")
	case r.reason == "partial":
		return "partial: " + mainFailure(r.badCalls)
	}
	return ""
}

// failureKinds lists the kinds of bad calls, the one that best explains a missing shard first.
var failureKinds = []string{"no budget for a repeat", "no connection free", "no answer yet", "refused", "no connection"}

// mainFailure returns the kind of bad call that best explains why a shard is missing.
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

// parseRequest reads the fields of a request's log line. Missing fields stay zero.
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

// number returns the value of a numeric field, or 0 if it is not a number.
func number(v any) float64 {
	n, _ := v.(json.Number)
	f, err := n.Float64()
	if err != nil {
		return 0
	}
	return f
}
