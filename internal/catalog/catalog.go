// Package catalog holds the operator's configuration and the list of leaves as plain types, free of
// any wire format, and selects the route of a request.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration. It is never changed once built.
type Config struct {
	// Version is the operator's number; versions rise in uneven steps.
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// routes by host, longest prefix first.
	routes map[string][]*Route
	count  int
	// single and shards are the services of single requests and of searches.
	single, shards map[string]bool
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name, Host, Prefix string
	// Idempotent requests may run more than once; all others at most once for each client attempt.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is worth most to the caller.
	Target time.Duration
	// MaxAttempts is how many leaves one client attempt may reach, for each shard of a search.
	MaxAttempts int
	// Priority is the rank of the route, 0 first.
	Priority int
	// Split names the services of a single request with their weights; one entry where there is no split.
	Split []Weighted
	// Shards are the services of a search; empty for a single request.
	Shards []string
	// TopK is how many records a search returns.
	TopK int
	// MinShare is the least share of shards, from 0 to 1, that a successful search covers.
	MinShare float64
}

// Weighted is a service with its part of the requests.
type Weighted struct {
	Service string
	Weight  float64
}

// Search tells whether requests of the route go to many shards.
func (r *Route) Search() bool { return len(r.Shards) > 0 }

// EffectiveTimeout returns how long a caller is kept waiting that said how long it will wait, or 0 where it didn't.
func (r *Route) EffectiveTimeout(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return r.Timeout
	}
	return min(r.Timeout, remaining)
}

// RequiredShards returns how many shards of the route a successful search covers at least.
func (r *Route) RequiredShards() int {
	n := len(r.Shards)
	for need := 1; need < n; need++ {
		// The tolerance absorbs the rounding of products such as 0.9 * 10.
		if float64(need) >= r.MinShare*float64(n)-shareRounding {
			return need
		}
	}
	return n
}

// shareRounding is far below one shard in any fleet and far above the error of a product.
const shareRounding = 1e-9

// Service is a group of leaves that answer alike.
type Service struct {
	Name string
	// HealthPath is the path of the leaf's health check.
	HealthPath string
	// ConnectionLimit is how many connections a leaf takes from all callers together.
	ConnectionLimit int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is how long a caller may take to send the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// New builds a configuration of the routes and services.
func New(version uint64, routes []*Route, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, Services: make(map[string]Service, len(services)),
		routes: make(map[string][]*Route), count: len(routes), single: make(map[string]bool), shards: make(map[string]bool)}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
		for _, s := range r.Shards {
			c.shards[s] = true
		}
		for _, w := range r.Split {
			c.single[w.Service] = true
		}
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Routes returns how many routes there are.
func (c *Config) Routes() int { return c.count }

// Match returns the route of the host whose prefix is the longest that begins the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// UsedServices returns the names of the services that a route of single requests leads to, and of those that are
// shards of a search. They are not to be changed.
func (c *Config) UsedServices() (single, shards map[string]bool) { return c.single, c.shards }
