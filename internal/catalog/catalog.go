// Package catalog holds the operator's configuration and the list of leaves as plain types that do not
// depend on a wire format, and selects the route of a request.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	// Version is the operator's number of the configuration. It rises in uneven steps.
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// routes holds the routes by host, longest prefix first.
	routes     map[string][]*Route
	routeCount int
	// single and shardServices are the services of single requests and of searches.
	single, shards map[string]bool
}

// Route is the policy for requests of one host and path prefix, and the services that they go to.
type Route struct {
	Name, Host, Prefix string
	// Idempotent is set if a request may run more than once. Any other request runs at most once for
	// each client attempt.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Target is the target latency: an answer within it has the highest value for the caller.
	Target time.Duration
	// MaxAttempts is how many leaves one client attempt may reach, for each shard in a search.
	MaxAttempts int
	// Priority is the priority of the route. 0 is the highest.
	Priority int
	// Split holds the services of a single request with their weights. It has one entry if the requests
	// are not split.
	Split []Weighted
	// Shards holds the services of a search, one for each shard. It is empty for a single request.
	Shards []string
	// TopK is the number of records that a search returns.
	TopK int
	// MinShare is the minimum share of shards, 0 to 1, that a successful search covers.
	MinShare float64
	// AllowedRegions are the regions whose leaves may get the route's requests. It is empty if all may.
	AllowedRegions []string
}

// AllowsRegion reports whether leaves in the region may get the route's requests.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// Weighted is a service with its weight in a split of requests.
type Weighted struct {
	Service string
	Weight  float64
}

// Search reports whether requests of the route are searches over shards.
func (r *Route) Search() bool { return len(r.Shards) > 0 }

// EffectiveTimeout returns how long a caller waits at most: the lower of Timeout and the remaining time
// that the caller gave. A remaining time of 0 or less means that it gave none.
func (r *Route) EffectiveTimeout(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return r.Timeout
	}
	return min(r.Timeout, remaining)
}

// RequiredShards returns the minimum number of shards that a successful search covers.
func (r *Route) RequiredShards() int {
	n := len(r.Shards)
	for need := 1; need < n; need++ {
		// The tolerance absorbs the rounding of products such as 0.9 * 10.
		if float64(need) >= r.MinShare*float64(n)-shareTolerance {
			return need
		}
	}
	return n
}

// shareTolerance is far below one shard in any fleet and far above the rounding error of a product.
const shareTolerance = 1e-9

// Service is a group of leaves that give the same answers.
type Service struct {
	Name string
	// HealthPath is the path of the leaves' health check.
	HealthPath string
	// ConnectionLimit is how many connections a leaf accepts from all callers together.
	ConnectionLimit int
	// Warmup is how long a leaf is cold after its start.
	Warmup time.Duration
	// WarmupRate is how many requests per second a cold leaf tolerates from all callers together; 0 if there is no
	// limit.
	WarmupRate float64
}

// Limits bounds the requests and connections of a caller.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is how long a caller may take to send the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
}

// New returns a configuration with the routes and services.
func New(version uint64, routes []*Route, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, Services: make(map[string]Service, len(services)),
		routes: make(map[string][]*Route), routeCount: len(routes), single: make(map[string]bool), shards: make(map[string]bool)}
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

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routeCount }

// Match returns the route of the host with the longest prefix of the path, or nil if none matches.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// BoundsColdLeaves reports whether a service names what its cold leaves tolerate.
func (c *Config) BoundsColdLeaves() bool {
	for _, s := range c.Services {
		if s.WarmupRate != 0 {
			return true
		}
	}
	return false
}

// UsedServices returns the names of the services that routes of single requests go to, and of those
// that are shards of searches. The caller must not modify the maps.
func (c *Config) UsedServices() (single, shards map[string]bool) { return c.single, c.shards }
