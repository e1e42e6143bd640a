package scenarios

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/burdockplank/burdockplank/internal/standin/leaf"
)

// journalLine is one line of a leaf's log file; one field is set. A line is written before the
// effect of what it names, so the file tells the truth of a leaf that was killed too.
type journalLine struct {
	Search    *leaf.Search    `json:"search"`
	Execution *leaf.Execution `json:"execution"`
}

// journal reads what all leaves have started since the scenario's beginning.
func (f *fleet) journal() ([]journalLine, error) {
	var all []journalLine
	for _, n := range f.leaves {
		data, err := os.ReadFile(f.leafLogFile(n))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
		for text := range bytes.Lines(data) {
			var line journalLine
			if err := json.Unmarshal(text, &line); err != nil {
				return nil, fmt.Errorf("journal of %s: %w", n.name, err)
			}
			all = append(all, line)
		}
	}
	return all, nil
}

// verbLog compares what the leaves have run with what is expected:
//
//	log executions TICKET N   the order of the ticket was executed N times, over all leaves
//	log searches none         no leaf has started anything of the last request
//	log searches QUERY N      N leaf searches for the text were started, over all leaves
//	log coverage              leaves delivered every shard that the last answer claims
//
// N is a number, or a range such as 1..3.
func verbLog(f *fleet, a *arguments) error {
	if err := a.done(1, 3); err != nil {
		return err
	}
	lines, err := f.journal()
	if err != nil {
		return err
	}
	switch {
	case len(a.words) == 3 && a.words[0] == "executions":
		return f.executions(lines, a.words[1], a.words[2])
	case len(a.words) == 3 && a.words[0] == "searches":
		return compare("searches for "+a.words[1], countSearches(lines, a.words[1]), a.words[2])
	case slices.Equal(a.words, []string{"searches", "none"}):
		return f.noneOfLast(lines)
	case slices.Equal(a.words, []string{"coverage"}):
		return f.coverageDelivered()
	}
	return fmt.Errorf("can't read %q", a.words)
}

// executions counts by the payload, which is the ticket's own, and by the ticket's text.
func (f *fleet) executions(lines []journalLine, name, want string) error {
	t := f.requests.tickets[name]
	if t == nil {
		return fmt.Errorf("no ticket %q", name)
	}
	count := 0
	for _, l := range lines {
		if e := l.Execution; e != nil && (e.Payload == t.payload || e.Ticket == t.text) {
			count++
		}
	}
	return compare("executions of "+name, count, want)
}

// noneOfLast wants the last request, a refused one, in no leaf's journal.
func (f *fleet) noneOfLast(lines []journalLine) error {
	last, err := f.requests.getLast()
	if err != nil {
		return err
	}
	id := last.requestID()
	if id == "" {
		return fmt.Errorf("the last reply names no request id: %s", last)
	}
	for _, l := range lines {
		if (l.Search != nil && l.Search.RequestID == id) || (l.Execution != nil && l.Execution.RequestID == id) {
			return fmt.Errorf("a leaf has run request %s: %+v", id, l)
		}
	}
	return nil
}

func countSearches(lines []journalLine, query string) int {
	count := 0
	for _, l := range lines {
		if l.Search != nil && l.Search.Query == query {
			count++
		}
	}
	return count
}

// compare wants a number, or one within a range such as 1..3.
func compare(what string, count int, want string) error {
	low, high, ranged := strings.Cut(want, "..")
	if !ranged {
		high = low
	}
	least, errLow := strconv.Atoi(low)
	most, errHigh := strconv.Atoi(high)
	if err := errors.Join(errLow, errHigh); err != nil {
		return err
	}
	if count < least || count > most {
		return fmt.Errorf("%s: %d, want %s", what, count, want)
	}
	return nil
}

// coverageDelivered wants, for each shard that the last answer counts as covered, a running leaf
// that delivered it for the request at the answer's snapshot.
func (f *fleet) coverageDelivered() error {
	last, err := f.requests.getLast()
	if err != nil {
		return err
	}
	if last.search == nil {
		return fmt.Errorf("the last reply is no answered search: %s", last)
	}
	delivered := make(map[uint32]bool)
	for _, n := range f.leaves {
		text, err := get(leafURL(n, "/log"))
		if err != nil {
			continue // a leaf that doesn't run can't vouch for anything
		}
		var log leaf.Log
		if err := json.Unmarshal([]byte(text), &log); err != nil {
			return err
		}
		for _, s := range log.Searches {
			if s.RequestID == last.requestID() && s.Snapshot == last.search.GetSnapshot() && s.State == leaf.SearchDelivered {
				delivered[s.Shard] = true
			}
		}
	}
	claimed := int(last.search.GetCoverage().GetShardsCovered())
	for _, m := range last.search.GetCoverage().GetMissing() {
		delete(delivered, m.GetShard())
	}
	if len(delivered) < claimed {
		return fmt.Errorf("the answer claims %d shards, leaves delivered only %v of them", claimed, delivered)
	}
	return nil
}
