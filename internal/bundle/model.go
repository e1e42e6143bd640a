// Package bundle implements the versioned configuration bundle: its model, strict parsing and checks,
// its split into content-addressed sections, signatures, and a store that never goes back to a lower
// version.
package bundle

import "time"

// Digest is the SHA-256 of a manifest's encoded bytes, of a section, or of a caller's token.
type Digest [32]byte

// Bundle is a checked bundle. It is immutable and shared by pointer within a process.
type Bundle struct {
	Version  uint64
	Digest   Digest
	Limits   Limits
	Callers  map[string]*Caller
	Services map[string]*Service

	// callersByToken holds the callers by the SHA-256 of their token.
	callersByToken map[Digest]*Caller
}

// Limits bounds the requests to all services.
type Limits struct {
	// MaxQueryBytes is the largest size of a query or an order payload.
	MaxQueryBytes int
	// MaxTopK is the largest number of hits a caller may request.
	MaxTopK int
	// MaxTimeout is the longest timeout a caller may request.
	MaxTimeout time.Duration
}

// Caller is a client that may send requests. The bundle holds only the hash of its token.
type Caller struct {
	Name        string
	TokenSHA256 Digest
	// Services lists the names of the services that the caller may use.
	Services []string
	// Rate is the caller's rate limit in requests per second. Each entry process applies it separately.
	// 0 means that the caller has no rate limit.
	Rate float64
	// Burst is the size of the token bucket of the rate limit, in requests.
	Burst int
	// Share is the caller's weight in fair queueing among callers, 1 by default.
	Share int
}

// Mode distinguishes searches from orders.
type Mode string

// The modes of a kind.
const (
	ModeSearch Mode = "search"
	ModeOrder  Mode = "order"
)

// Partial determines what a kind of search does about late shards.
type Partial string

// The policies for partial answers.
const (
	// PartialLatency answers before the deadline without the late shards, once EarlyCoverage is
	// reached and the stragglers have not answered within EarlyAfter. Stragglers are hedged only where
	// the hedge budget allows it and a replica is left that has not been tried.
	PartialLatency Partial = "latency"
	// PartialCoverage waits for every shard until the deadline.
	PartialCoverage Partial = "coverage"
)

// Kind is one kind of request of a service, with its policy. A kind of order has only Name, Mode,
// Weight and Timeout; the other fields are zero.
type Kind struct {
	Name string
	Mode Mode
	// Weight is the priority of the kind under overload. Kinds with a higher weight go first.
	Weight int
	// Timeout applies if the caller gives none.
	Timeout time.Duration
	// TopK is the number of hits if the caller gives none.
	TopK int
	// Partial is the policy for late shards.
	Partial Partial
	// MinCoverage is the share of documents, 0 to 1, below which a search fails.
	MinCoverage float64
	// EarlyCoverage is the share of documents from which PartialLatency may answer early.
	EarlyCoverage float64
	// EarlyAfter is the time from the start of the search (or of its rerun at another snapshot) until
	// PartialLatency may answer early, as a multiple of the time in which the slowest shard of the
	// service typically answers.
	EarlyAfter float64
	// HedgeBudget is the number of hedges allowed, 0 to 0.05, as a share of a process's calls to the
	// service other than hedges and retries.
	HedgeBudget float64
	// RetryBudget is the number of retries allowed, 0 to 0.10, as a share of the same calls.
	RetryBudget float64
}

// Service is one service of an operator. It takes searches, orders or both.
type Service struct {
	Name   string
	Kinds  map[string]*Kind
	Leaves map[string]*Leaf
	// Snapshots holds the versions of the index, newest first.
	Snapshots []*Snapshot
}

// Leaf is one upstream of a service.
type Leaf struct {
	ID   string
	Zone string
	// Address is IP:PORT.
	Address string
	// Slots is how many calls the leaf runs concurrently.
	Slots int
	// Connections is how many connections the leaf accepts from all VMs together.
	Connections int
}

// Snapshot is one version of the index, with its shards and the leaves that hold them.
type Snapshot struct {
	Version uint64
	Shards  []Shard
}

// Shard is one part of a snapshot's data.
type Shard struct {
	ID        uint32
	Documents uint64
	// Leaves lists the ids of the leaves that hold a replica.
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

// MayUse reports whether the caller may use the service.
func (c *Caller) MayUse(service string) bool {
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}
