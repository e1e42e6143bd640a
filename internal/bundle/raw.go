package bundle

import (
	"math"
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// Defaults of the optional keys of a bundle's text.
const (
	defaultMaxQueryBytes = 4096
	defaultMaxTopK       = 100
	defaultMaxTimeout    = 10 * time.Second
	defaultShare         = 1
	defaultWeight        = 1
	defaultTopK          = 10
	defaultPartial       = PartialCoverage
	defaultMinCoverage   = 0
	defaultEarlyCoverage = 0.9
	defaultEarlyAfter    = 3.0
	defaultHedgeBudget   = 0.05
	defaultRetryBudget   = 0.10
)

// rawBundle is the decoded text of a bundle. Pointers distinguish an absent key from a zero value.
type rawBundle struct {
	Version  uint64       `toml:"version"`
	Limits   rawLimits    `toml:"limits"`
	Callers  []rawCaller  `toml:"caller"`
	Services []rawService `toml:"service"`
}

// Check implements settings.Checked. It does nothing: the checker in check.go checks the rules, since
// it knows the indices of array elements.
func (*rawBundle) Check(*settings.Checker) {}

type rawLimits struct {
	MaxQueryBytes *int               `toml:"max_query_bytes"`
	MaxTopK       *int               `toml:"max_top_k"`
	MaxTimeout    *settings.Duration `toml:"max_timeout"`
}

type rawCaller struct {
	Name        string   `toml:"name"`
	TokenSHA256 string   `toml:"token_sha256"`
	Services    []string `toml:"services"`
	Rate        float64  `toml:"rate"`
	Burst       *int     `toml:"burst"`
	Share       *int     `toml:"share"`
}

type rawService struct {
	Name      string        `toml:"name"`
	Kinds     []rawKind     `toml:"kind"`
	Leaves    []rawLeaf     `toml:"leaf"`
	Snapshots []rawSnapshot `toml:"snapshot"`
}

type rawKind struct {
	Name          string             `toml:"name"`
	Mode          string             `toml:"mode"`
	Weight        *int               `toml:"weight"`
	Timeout       *settings.Duration `toml:"timeout"`
	TopK          *int               `toml:"top_k"`
	Partial       *string            `toml:"partial"`
	MinCoverage   *float64           `toml:"min_coverage"`
	EarlyCoverage *float64           `toml:"early_coverage"`
	EarlyAfter    *float64           `toml:"early_after"`
	HedgeBudget   *float64           `toml:"hedge_budget"`
	RetryBudget   *float64           `toml:"retry_budget"`
}

type rawLeaf struct {
	ID          string `toml:"id"`
	Zone        string `toml:"zone"`
	Address     string `toml:"address"`
	Slots       int    `toml:"slots"`
	Connections int    `toml:"connections"`
}

type rawSnapshot struct {
	Version uint64     `toml:"version"`
	Shards  []rawShard `toml:"shard"`
}

type rawShard struct {
	ID        *uint32  `toml:"id"`
	Documents uint64   `toml:"documents"`
	Leaves    []string `toml:"leaves"`
}

// valueOr returns *p, or def if the key was absent.
func valueOr[T any](p *T, def T) T {
	if p == nil {
		return def
	}
	return *p
}

func (r *rawLimits) resolve() Limits {
	return Limits{
		MaxQueryBytes: valueOr(r.MaxQueryBytes, defaultMaxQueryBytes),
		MaxTopK:       valueOr(r.MaxTopK, defaultMaxTopK),
		MaxTimeout:    valueOr(r.MaxTimeout, settings.Duration(defaultMaxTimeout)).D(),
	}
}

// resolve returns the caller without its token, which the checker decodes to report errors at its key.
func (r *rawCaller) resolve() *Caller {
	return &Caller{
		Name:     r.Name,
		Services: r.Services,
		Rate:     r.Rate,
		Burst:    valueOr(r.Burst, max(1, int(math.Ceil(min(r.Rate, math.MaxInt32))))),
		Share:    valueOr(r.Share, defaultShare),
	}
}

func (r *rawKind) resolve() *Kind {
	k := &Kind{
		Name:    r.Name,
		Mode:    Mode(r.Mode),
		Weight:  valueOr(r.Weight, defaultWeight),
		Timeout: valueOr(r.Timeout, 0).D(),
	}
	if k.Mode == ModeOrder {
		return k
	}
	k.TopK = valueOr(r.TopK, defaultTopK)
	k.Partial = Partial(valueOr(r.Partial, string(defaultPartial)))
	k.MinCoverage = valueOr(r.MinCoverage, defaultMinCoverage)
	k.EarlyCoverage = valueOr(r.EarlyCoverage, max(defaultEarlyCoverage, k.MinCoverage))
	k.EarlyAfter = valueOr(r.EarlyAfter, defaultEarlyAfter)
	k.HedgeBudget = valueOr(r.HedgeBudget, defaultHedgeBudget)
	k.RetryBudget = valueOr(r.RetryBudget, defaultRetryBudget)
	return k
}

func (r *rawLeaf) resolve() *Leaf {
	return &Leaf{ID: r.ID, Zone: r.Zone, Address: r.Address, Slots: r.Slots, Connections: r.Connections}
}
