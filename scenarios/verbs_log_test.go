package scenarios

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/burdockplank/burdockplank/internal/standin/leaf"
)

// verbLog compares the journals of the leaves with the expectation:
//
//	log executions TICKET N   the order of the ticket was executed N times, over all leaves
//	log searches none         the last request, a refused one, has reached no leaf
//	log searches QUERY N      N leaf searches for the text were started, over all leaves
//	log coverage              leaves delivered every shard that the last answer counts as covered
//	log crashes TEXT MIN MAX  leaves crashed MIN to MAX times at requests whose text contains TEXT
//	log history               every reply so far passes checkHistory
//
// N is a number, or a range such as 1..3.
func verbLog(f *fleet, a *arguments) error {
	if err := a.validate(1, 4); err != nil {
		return err
	}
	j, err := f.journal()
	if err != nil {
		return err
	}
	lines := j.lines
	switch {
	case len(a.words) == 3 && a.words[0] == "executions":
		return f.checkExecutions(lines, a.words[1], a.words[2])
	case len(a.words) == 3 && a.words[0] == "searches":
		return checkCount("searches for "+a.words[1], countSearches(lines, a.words[1]), a.words[2])
	case slices.Equal(a.words, []string{"searches", "none"}):
		return f.checkLastNotRun(j)
	case slices.Equal(a.words, []string{"coverage"}):
		return f.checkCoverageDelivered(j)
	case len(a.words) == 4 && a.words[0] == "crashes":
		return checkRange("crashes at "+a.words[1], countCrashes(lines, a.words[1]), a.words[2], a.words[3])
	case slices.Equal(a.words, []string{"history"}):
		return f.checkHistory(f.requests.history())
	}
	return fmt.Errorf("unknown arguments %q", a.words)
}

// checkExecutions compares the number of executions of the ticket's order with want. It counts executions
// with the payload, which no other ticket has, or with the ticket's text.
func (f *fleet) checkExecutions(lines []leaf.FileLine, name, want string) error {
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
	return checkCount("executions of "+name, count, want)
}

// ordersExecuted returns an error until leaves have executed the order of each of the tickets.
func (f *fleet) ordersExecuted(names []string) error {
	j, err := f.journal()
	if err != nil {
		return err
	}
	byTicket, _ := executionsBy(j.lines)
	for _, name := range names {
		t := f.requests.tickets[name]
		if t == nil || byTicket[t.text] == 0 {
			return fmt.Errorf("%s was not executed; background replies: %s", name, f.requests.backgroundReplies())
		}
	}
	return nil
}

// checkLastNotRun returns an error if the last request, a refused one, has reached a leaf.
func (f *fleet) checkLastNotRun(j *journal) error {
	last, err := f.requests.getLast()
	if err != nil {
		return err
	}
	id := last.requestID()
	if id == "" {
		return fmt.Errorf("the last reply names no request id: %s", last)
	}
	if j.arrived[id] {
		return fmt.Errorf("request %s has reached a leaf", id)
	}
	return nil
}

func countSearches(lines []leaf.FileLine, query string) int {
	count := 0
	for _, l := range lines {
		if l.Search != nil && l.Search.Query == query {
			count++
		}
	}
	return count
}

// checkCount returns an error unless count is the wanted number, or within a range such as 1..3.
func checkCount(what string, count int, want string) error {
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

func countCrashes(lines []leaf.FileLine, text string) int {
	count := 0
	for _, l := range lines {
		if l.Crash != nil && strings.Contains(l.Crash.Text, text) {
			count++
		}
	}
	return count
}

// checkRange returns an error unless count is from low to high.
func checkRange(what string, count int, low, high string) error {
	l, err := strconv.Atoi(low)
	if err != nil {
		return err
	}
	h, err := strconv.Atoi(high)
	if err != nil {
		return err
	}
	if count < l || count > h {
		return fmt.Errorf("%s: %d, want %d to %d", what, count, l, h)
	}
	return nil
}

// checkCoverageDelivered returns an error unless, for each shard that the last answer counts as covered,
// a leaf delivered it for the request at the answer's snapshot.
func (f *fleet) checkCoverageDelivered(j *journal) error {
	last, err := f.requests.getLast()
	if err != nil {
		return err
	}
	if last.search == nil {
		return fmt.Errorf("the last reply is not an answered search: %s", last)
	}
	return f.checkAnswer(last, j)
}
