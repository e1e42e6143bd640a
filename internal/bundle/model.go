// Package bundle holds the versioned configuration bundle: its model, strict parsing and checks,
// its split into content-addressed sections, signatures, and the store that never goes back.
package bundle

import "time"

// Digest is the SHA-256 of a manifest's encoded bytes, or of a section.
type Digest [32]byte

// Bundle is a checked bundle. It is immutable; processes share one pointer.
type Bundle struct {
	Version  uint64
	Digest   Digest
	Limits   Limits
	Callers  map[string]*Caller
	Services map[string]*Service

	// callersByToken finds a caller by the SHA-256 of its token.
	callersByToken map[Digest]*Caller
}

// Limits hold for all services.
type Limits struct {
	// MaxQueryBytes is the longest query or order payload taken.
	MaxQueryBytes int
	// MaxTopK is the largest number of hits a caller may ask for.
	MaxTopK int
	// MaxTimeout is the longest deadline a caller may ask for.
	MaxTimeout time.Duration
}

// Caller is who may ask. The bundle holds only the hash of its token.
type Caller struct {
	Name        string
	TokenSHA256 Digest
	// Services the caller may use.
	Services []string
	// Rate is the caller's allowance at one entry, in requests a second; 0 is no limit of its own.
	Rate float64
	// Burst is the size of the allowance's bucket, in requests.
	Burst int
	// Share is the caller's weight in fair queueing among callers, 1 by default.
	Share int
}

// Mode tells searches from orders.
type Mode string

// The modes of a kind.
const (
	ModeSearch Mode = "search"
	ModeOrder  Mode = "order"
)

// Partial says what a kind of search does when shards are late.
type Partial string

// The policies for partial answers.
const (
	// PartialLatency answers early, once MinCoverage is reached and stragglers are hedged in vain.
	PartialLatency Partial = "latency"
	// PartialCoverage waits for every shard until the deadline.
	PartialCoverage Partial = "coverage"
)

// Kind is one kind of request of a service, with its policy.
type Kind struct {
	Name string
	Mode Mode
	// Weight orders kinds under overload; heavier kinds go first.
	Weight int
	// Timeout is used where the caller gives none.
	Timeout time.Duration
	// TopK is the number of hits where the caller gives none.
	TopK int
	// Partial is the policy for late shards.
	Partial Partial
	// MinCoverage is the share of documents, 0 to 1, below which an answer counts as failed.
	MinCoverage float64
	// EarlyCoverage is the share of documents from which PartialLatency may answer early.
	EarlyCoverage float64
	// EarlyAfter is how long PartialLatency waits for stragglers before it answers early, counted
	// as a multiple of the service's usual time of the slowest shard.
	EarlyAfter float64
	// HedgeBudget is the share of extra calls that hedges may make, 0 to 0.05.
	HedgeBudget float64
	// RetryBudget is the share of extra calls that retries may make, 0 to 0.10.
	RetryBudget float64
}

// Service is one searchable service of an operator.
type Service struct {
	Name   string
	Kinds  map[string]*Kind
	Leaves map[string]*Leaf
	// Snapshots are the index versions with their shard maps, newest first.
	Snapshots []*Snapshot
}

// Leaf is one upstream of a service.
type Leaf struct {
	ID   string
	Zone string
	// Address is HOST:PORT, host an IP number.
	Address string
	// Slots is how many calls it works on at once.
	Slots int
	// Connections is how many connections it accepts in all.
	Connections int
}

// Snapshot is one version of the index and the map of its shards.
type Snapshot struct {
	Version uint64
	Shards  []Shard
}

// Shard is one part of a snapshot's data.
type Shard struct {
	ID        uint32
	Documents uint64
	// Leaves hold a replica each, by their ids.
	Leaves []string
}

// CallerByToken returns the caller whose token hashes to the digest, or nil.
func (b *Bundle) CallerByToken(tokenSHA256 Digest) *Caller { return b.callersByToken[tokenSHA256] }

// Snapshot returns the snapshot of the given version, or nil.
func (s *Service) Snapshot(version uint64) *Snapshot {
	for _, sn := range s.Snapshots {
		if sn.Version == version {
			return sn
		}
	}
	return nil
}

// Documents returns the number of documents over all shards.
func (s *Snapshot) Documents() uint64 {
	var n uint64
	for i := range s.Shards {
		n += s.Shards[i].Documents
	}
	return n
}

// MayUse tells whether the caller may use the service.
func (c *Caller) MayUse(service string) bool {
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}
