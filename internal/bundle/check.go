package bundle

import (
	"fmt"
	"strconv"
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// The largest values that a bundle may set.
const (
	maxQueryBytes = 1 << 20
	maxTopK       = 10_000
	maxTimeout    = 10 * time.Minute
	maxWeight     = 1000
	maxShare      = 1000
	maxRate       = 1e9
	// maxHedgeBudget and maxRetryBudget bound the extra load that a kind may put on upstreams, as a
	// share of the calls to its service. See Kind.
	maxHedgeBudget = 0.05
	maxRetryBudget = 0.10
)

// path is the dotted path of a table in the text, as in service[0].kind[1]. It is formatted only when an
// error is reported.
type path struct {
	parent *path
	name   string
	// index is the position in an array of tables, or -1 for a plain table.
	index int
}

// element returns the path of element i of the array of tables called name inside p.
func (p *path) element(name string, i int) *path { return &path{parent: p, name: name, index: i} }

// key returns the dotted path of a key inside p, or of p itself if name is empty. A nil p is the top
// level of the text.
func (p *path) key(name string) string {
	if p == nil {
		return name
	}
	self := p.parent.key(p.name)
	if p.index >= 0 {
		self += "[" + strconv.Itoa(p.index) + "]"
	}
	if name == "" {
		return self
	}
	return self + "." + name
}

// checker builds a bundle from a rawBundle, the decoded TOML, and keeps the first error found.
type checker struct {
	err *ParseError
	// leafIDs and addresses hold the ids and addresses of the leaves checked so far, over all services,
	// to check that each is unique.
	leafIDs, addresses map[string]bool
}

// require records an error at the key inside p unless ok is true or an error is recorded already.
func (c *checker) require(ok bool, p *path, key, reason string, args ...any) {
	if ok || c.err != nil {
		return
	}
	c.err = &ParseError{Key: p.key(key), Reason: fmt.Sprintf(reason, args...), Unworkable: true}
}

// name requires a valid name that is not taken.
func (c *checker) name(p *path, key, name string, taken bool) {
	c.require(settings.ValidName(name), p, key, "want a name of a-z, 0-9, '.' and '-', got %q", name)
	c.require(!taken, p, key, "%q stands twice", name)
}

// inRange requires lo <= v <= hi. NaN is refused.
func (c *checker) inRange(p *path, key string, v, lo, hi float64) {
	c.require(v >= lo && v <= hi, p, key, "want a number from %v to %v, got %v", lo, hi, v)
}

// bundle checks and builds the whole bundle. The result is valid only if c.err is nil.
func (c *checker) bundle(raw *rawBundle) *Bundle {
	c.leafIDs, c.addresses = make(map[string]bool), make(map[string]bool)
	b := &Bundle{
		Version:        raw.Version,
		Limits:         raw.Limits.resolve(),
		Callers:        make(map[string]*Caller, len(raw.Callers)),
		Services:       make(map[string]*Service, len(raw.Services)),
		callersByToken: make(map[Digest]*Caller, len(raw.Callers)),
	}
	c.require(b.Version >= 1, nil, "version", "want a version of 1 or more")
	c.limits(b.Limits)
	c.require(len(raw.Services) > 0, nil, "service", "no service")
	c.require(len(raw.Callers) > 0, nil, "caller", "no caller")
	for i := range raw.Services {
		c.service(b, (*path)(nil).element("service", i), &raw.Services[i])
	}
	for i := range raw.Callers {
		c.caller(b, (*path)(nil).element("caller", i), &raw.Callers[i])
	}
	return b
}

// limits checks the table limits.
func (c *checker) limits(l Limits) {
	p := &path{name: "limits", index: -1}
	c.inRange(p, "max_query_bytes", float64(l.MaxQueryBytes), 1, maxQueryBytes)
	c.inRange(p, "max_top_k", float64(l.MaxTopK), 1, maxTopK)
	c.timeout(p, "max_timeout", l.MaxTimeout, maxTimeout)
}

// timeout requires a duration from 1 ms to limit.
func (c *checker) timeout(p *path, key string, d, limit time.Duration) {
	c.require(d >= time.Millisecond && d <= limit, p, key, "want a duration from 1ms to %v, got %v", limit, d)
}
