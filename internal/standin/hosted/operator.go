package hosted

import (
	"cmp"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/deployment"
)

// Route is a route as the operator configures it.
type Route struct {
	Name, Host, Prefix     string
	Idempotent             bool
	Timeout, TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority, MaxAttempts int
	// Service is set for a route of single requests. A search route sets Shards, TopK, the number of
	// records that a search returns, and MinShardShare, the least share of shards that must answer.
	Service       string
	Shards        []string
	TopK          int
	MinShardShare float64
}

// Config is one version of the operator's configuration.
type Config struct {
	Version int
	Routes  []Route
	// Services are the names of the services. Connections is the connection limit to each leaf.
	Services    []string
	Connections int
	// Warmup is how long a leaf is cold after its start, WarmupRate how many requests a second a cold leaf tolerates;
	// 0 for no limit.
	Warmup     time.Duration
	WarmupRate float64
	// IdleTimeout is how long a caller's connection may be idle; 0 for defaultIdleTimeout.
	IdleTimeout time.Duration
}

// defaultIdleTimeout is the limit of the users' deployments.
const defaultIdleTimeout = 15 * time.Second

// HealthPath is the path of the health checks of all services.
const HealthPath = "/health"

// Configure writes the configuration to the store under op/config.
func (s *Store) Configure(c Config) {
	var routes, services []map[string]any
	for i := range c.Routes {
		routes = append(routes, c.Routes[i].wire())
	}
	for _, name := range c.Services {
		services = append(services, map[string]any{
			"name": name, "health_check_path": HealthPath, "connection_limit": c.Connections, "protocol": "h1",
			"warmup_s": c.Warmup.Seconds(), "warmup_per_s": c.WarmupRate,
		})
	}
	s.PutJSON("op/config", map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": cmp.Or(c.IdleTimeout, defaultIdleTimeout).Milliseconds()},
	})
}

func (r *Route) wire() map[string]any {
	kind := "non_idempotent"
	if r.Idempotent {
		kind = "idempotent"
	}
	out := map[string]any{
		"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": kind, "priority": r.Priority, "max_attempts": r.MaxAttempts,
		"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.TargetLatency.Milliseconds(),
	}
	if len(r.Shards) == 0 {
		out["service"] = r.Service
		return out
	}
	out["gather"], out["top_k"], out["min_shard_share"] = r.Shards, r.TopK, r.MinShardShare
	return out
}

// Evacuate requests that nothing be sent to the leaves of the zone.
func (s *Store) Evacuate(zone string) { s.PutJSON(evacuationKey(zone), struct{}{}) }

// EndEvacuation takes the evacuation of the zone back.
func (s *Store) EndEvacuation(zone string) { s.Delete(evacuationKey(zone)) }

func evacuationKey(zone string) string { return "op/evacuate/" + zone }

// PutLeaf writes the leaf's entry with the given address.
func (s *Store) PutLeaf(l *Leaf, service, zone, state, address string) {
	entry := l.Entry(service, zone, state)
	entry["address"] = address
	s.PutJSON(entryKey(l), entry)
}

// RemoveLeaf deletes the leaf's entry.
func (s *Store) RemoveLeaf(l *Leaf) { s.Delete(entryKey(l)) }

func entryKey(l *Leaf) string { return ServerKey(l.ID) }

// ServerKey returns the store key of a leaf's entry. Tests also use it for entries that no leaf wrote.
func ServerKey(name string) string { return "servers/" + name }

// WriteSettings writes a VM's settings file in the platform's format.
func WriteSettings(file string, s *deployment.Settings) error {
	text := fmt.Sprintf(`node_name = %q
ip = %q
zone = %q
seeds = ["%s"]
[listen]
frontend = %q
ready = %q
control = %q
[limits]
cpu_share = %g
memory_mb = %d
file_descriptors = %d
[bounds]
grace_period_s = %g
retry_budget_ratio = %g
retry_budget_slack = %g
retry_window_s = %g
config_apply_ms = %d
warmup_overage = %g
warmup_slack = %g
[platform]
address = %q
`, s.VMName, s.IP, s.Zone, strings.Join(s.Seeds, `", "`), s.CallersAddress, s.ReadinessAddress, s.PeersAddress,
		float64(s.Millicores)/1000, s.MemoryBytes>>20, s.FileDescriptors,
		s.GracePeriod.Seconds(), s.RetryBudget.Ratio, s.RetryBudget.Slack, s.RetryBudget.Window.Seconds(), s.ConfigApplyBound.Milliseconds(),
		s.Warmup.Overage, s.Warmup.Slack, s.StoreAddress)
	if len(s.Regions) > 0 {
		text += "[zones]\n"
	}
	for zone, region := range s.Regions {
		text += fmt.Sprintf("%q = %q\n", zone, region)
	}
	return os.WriteFile(file, []byte(text), 0o600)
}
