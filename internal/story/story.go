// Package story puts the log lines of several VMs about one request in order: its own lines, and what
// the VMs that served it came to believe around it, of themselves and of the leaves it named.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/decision"
)

// maxLineBytes bounds a log line, in bytes; the longest that the programs write are some kilobytes.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	At time.Time
	// VM that wrote it, and Msg, what it is about.
	VM, Msg string
	// Fields hold all that the line says, those of above included.
	Fields map[string]any
	// File and Number say where the line stands; the first is 1.
	File   string
	Number int
}

// Log is what was read of one file.
type Log struct {
	Lines []Line
	// Skipped counts lines that are no log lines of the programs.
	Skipped int
}

// Read reads a log. Text before a line's first brace, as a supervisor may put there, is passed over.
func Read(file string, r io.Reader) (*Log, error) {
	log := new(Log)
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for n := 1; s.Scan(); n++ {
		line, ok := parse(s.Bytes())
		if !ok {
			log.Skipped++
			continue
		}
		line.File, line.Number = file, n
		log.Lines = append(log.Lines, line)
	}
	if err := s.Err(); err != nil {
		return nil, eris.Wrapf(err, "story: read %s", file)
	}
	return log, nil
}

// parse takes a line apart; false where it is none of the programs'.
func parse(text []byte) (Line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	var l Line
	d := json.NewDecoder(bytes.NewReader(text[brace:]))
	d.UseNumber() // a digest has more digits than a float64
	if d.Decode(&l.Fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.text(decision.FieldTime))
	if err != nil {
		return Line{}, false
	}
	l.At, l.VM, l.Msg = at, l.text(decision.FieldVM), l.text(decision.FieldMsg)
	return l, l.Msg != ""
}

// text returns a field that is text, empty where it is none.
func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// UnknownError says that no line names the request.
type UnknownError struct{ ID string }

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("story: no line names the request %q; plain successes have none, and lines beyond the log's limits were left out", e.ID)
}

// Collect returns the lines that belong to the request's story, in the order of their times: those that name
// it, and those between the given time before the first and the same time after the last in which a VM
// that served it tells of itself, or any VM of a leaf or service that the request's lines name. Each VM
// writes times by its own clock. It returns an *UnknownError where no line names the request.
func Collect(lines []Line, id string, margin time.Duration) ([]Line, error) {
	scope := newRequestScope(lines, id)
	if scope == nil {
		return nil, &UnknownError{ID: id}
	}
	var out []Line
	for _, l := range lines {
		if l.text(decision.FieldID) == id || scope.includes(&l, margin) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

// requestScope is what a request's own lines tell.
type requestScope struct {
	first, last time.Time
	vms, leaves map[string]bool
	services    map[string]bool
}

// newRequestScope gathers the request's own lines; nil where there are none.
func newRequestScope(lines []Line, id string) *requestScope {
	s := &requestScope{vms: make(map[string]bool), leaves: make(map[string]bool), services: make(map[string]bool)}
	for _, l := range lines {
		if l.text(decision.FieldID) != id {
			continue
		}
		if s.first.IsZero() || l.At.Before(s.first) {
			s.first = l.At
		}
		if l.At.After(s.last) {
			s.last = l.At
		}
		s.vms[l.VM] = true
		s.addCalls(&l)
	}
	if len(s.vms) == 0 {
		return nil
	}
	return s
}

// addCalls takes the leaves and services of the line's bad calls.
func (s *requestScope) addCalls(l *Line) {
	calls, _ := l.Fields[decision.FieldBadCalls].([]any)
	for _, call := range calls {
		fields, _ := call.(map[string]any)
		if leaf, _ := fields[decision.FieldLeaf].(string); leaf != "" {
			s.leaves[leaf] = true
		}
		if service, _ := fields[decision.FieldService].(string); service != "" {
			s.services[service] = true
		}
	}
}

// includes tells whether a line that names another request, or none, belongs to the story.
func (s *requestScope) includes(l *Line, margin time.Duration) bool {
	if l.Msg == decision.MsgRequest || l.At.Before(s.first.Add(-margin)) || l.At.After(s.last.Add(margin)) {
		return false
	}
	leaf, service := l.text(decision.FieldLeaf), l.text(decision.FieldService)
	if leaf == "" && service == "" {
		return s.vms[l.VM]
	}
	return s.leaves[leaf] || leaf == "" && s.services[service]
}
