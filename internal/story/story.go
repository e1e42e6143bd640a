// Package story collects the log lines about one request from the logs of several VMs and sorts them by time.
// These are the lines that name the request and the lines around it about the VMs that served it and about the
// leaves and services that it names, and what these VMs went by.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/decision"
	"github.com/burdockplank/burdockplank/internal/directory"
)

// maxLineBytes bounds the length of a log line. The longest lines that the programs write are a few kilobytes.
const maxLineBytes = 1 << 20

// Line is one parsed line of a log.
type Line struct {
	At time.Time
	// VM is the VM that wrote the line. Msg is its message.
	VM, Msg string
	// Fields holds all fields of the line, including the time, the VM and the message.
	Fields map[string]any
	// File and Number locate the line. The first line of a file has number 1.
	File   string
	Number int
}

// Log holds the lines read from one file.
type Log struct {
	Lines []Line
	// Skipped counts the lines that are not log lines of the programs.
	Skipped int
}

// Read reads a log. It ignores text before the first brace of a line, such as a prefix from a supervisor. It
// returns an error if reading fails or a line exceeds maxLineBytes.
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

// parse parses a line. It returns false if the line is not a log line of the programs.
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

// text returns the value of a text field, or "" if the field is missing or not text.
func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// digest returns the digest of the request text that the line names, or "" if it names none.
func (l *Line) digest() string {
	if d, _ := l.Fields[decision.FieldDigest].(json.Number); d != "0" {
		return d.String()
	}
	return ""
}

// UnknownError reports that no line names the request.
type UnknownError struct{ ID string }

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("story: no line names the request %q; plain successes are not logged, and lines beyond the log's limits were left out", e.ID)
}

// Collect returns the lines about the request, sorted by time. These are the lines that name the request and,
// from margin before the first to margin after the last of those, two more kinds: lines of a VM that served
// the request which name no leaf or service, and lines of any VM about a leaf or service that the request's
// lines name. However long before, there are also the latest lines of a VM that served the request about its configuration
// and about a return of the store from a copy, and the lines of any VM about leaves that were lost under the same request
// text. Each VM writes times by its own clock. It returns an *UnknownError if no
// line names the request.
func Collect(lines []Line, id string, margin time.Duration) ([]Line, error) {
	scope := newRequestScope(lines, id)
	if scope == nil {
		return nil, &UnknownError{ID: id}
	}
	var out []Line
	for i := range lines {
		l := &lines[i]
		if l.text(decision.FieldID) == id || scope.includes(l, margin) {
			out = append(out, *l)
		}
	}
	for _, l := range scope.wentBy(lines) {
		if !scope.includes(l, margin) {
			out = append(out, *l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

// requestScope holds the time span, VMs, leaves and services that a request's own lines name.
type requestScope struct {
	first, last time.Time
	vms, leaves map[string]bool
	services    map[string]bool
	// digests are those of the request's text.
	digests map[string]bool
}

// newRequestScope returns the scope of the request's own lines, or nil if there are none.
func newRequestScope(lines []Line, id string) *requestScope {
	s := &requestScope{vms: make(map[string]bool), leaves: make(map[string]bool), services: make(map[string]bool), digests: make(map[string]bool)}
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
		if d := l.digest(); d != "" {
			s.digests[d] = true
		}
	}
	if len(s.vms) == 0 {
		return nil
	}
	return s
}

// addCalls adds the leaves and services of the line's bad calls to the scope.
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

// includes reports whether a line that names another request or none belongs to the request's story. Lines of
// requests never do.
func (s *requestScope) includes(l *Line, margin time.Duration) bool {
	switch {
	case l.Msg == decision.MsgRequest, l.At.After(s.last.Add(margin)):
		return false
	case s.digests[l.digest()]:
		return true
	case l.At.Before(s.first.Add(-margin)):
		return false
	}
	leaf, service := l.text(decision.FieldLeaf), l.text(decision.FieldService)
	if leaf == "" && service == "" {
		return s.vms[l.VM]
	}
	return s.leaves[leaf] || leaf == "" && s.services[service]
}

// wentBy returns, for each VM that served the request, its latest line before the request of each kind that tells what it
// went by.
func (s *requestScope) wentBy(lines []Line) []*Line {
	type key struct{ vm, msg string }
	latest := make(map[key]*Line)
	for i := range lines {
		l := &lines[i]
		k := key{l.VM, l.Msg}
		tells := l.Msg == directory.MsgConfigInForce || l.Msg == directory.MsgStoreRestored
		if !tells || !s.vms[l.VM] || l.At.After(s.last) || latest[k] != nil && l.At.Before(latest[k].At) {
			continue
		}
		latest[k] = l
	}
	return slices.Collect(maps.Values(latest))
}
