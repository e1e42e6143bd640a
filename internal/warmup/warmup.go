// Package warmup bounds the requests that this VM sends to a cold leaf. A leaf is cold for some seconds after its start,
// and after its availability zone was evacuated. The platform bounds the requests that a cold leaf gets in any second
// from all VMs together. The VMs write no shared state, so each takes a fixed part of them that it computes from what
// all VMs see alike. The package does no I/O.
package warmup

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// window is the time within which a leaf gets no more than its bound. It is longer than the platform's second:
	// a request is counted when it is taken, and reaches the leaf after a connection was opened for it.
	window = time.Second + 300*time.Millisecond
	// usedFraction is the fraction of the bound that the VMs divide. The rest is for VMs that started while they were
	// cut off, and know only a part of their zone.
	usedFraction = 0.5
	// startDelay is how long after its start a process sends nothing to cold leaves. Until then the other VMs may
	// not know of it, and a process of the same VM may just have used its part.
	startDelay = 5 * time.Second
)

// Limit is the platform's bound: a cold leaf whose service tolerates a rate gets at most Overage times the rate plus
// Slack requests in any second.
type Limit struct {
	Overage, Slack float64
}

// requests returns how many requests the VMs together send to a cold leaf in a window. A rate below 0 leaves only the
// slack.
func (l Limit) requests(rate float64) int {
	allowed := usedFraction * (math.Max(rate, 0)*l.Overage + l.Slack)
	return int(math.Min(allowed, maxRequests))
}

// maxRequests bounds the requests to a leaf in a window where the configured rate is absurdly high.
const maxRequests = 10_000

// Allowance counts the requests of this VM to each cold leaf. It is safe for concurrent use.
type Allowance struct {
	// self is the address of this VM, zone its availability zone.
	self, zone string
	limit      Limit
	division   division
	clock      func() time.Time
	start      time.Time
	requests   *prometheus.CounterVec

	mu sync.Mutex
	// The fields below are guarded by mu.

	// callers holds the addresses of the VMs of the own zone that call services of a kind.
	callers map[Kind][]string
	// sent holds the times of the requests of the latest window.
	sent map[catalog.LeafID][]time.Time
	// kindOf tells which VMs call a service.
	kindOf func(service string) Kind
}

// Kind says which VMs call the leaves of a service.
type Kind int

// Kinds of services.
const (
	// Single services are called by all VMs.
	Single Kind = iota
	// Shards are called by the VMs that make the calls of searches.
	Shards
)

// New returns the allowance of the VM with the address self in the zone. zones are all availability zones of the
// deployment.
func New(self, zone string, zones []string, limit Limit, clock func() time.Time, reg prometheus.Registerer) *Allowance {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_cold_leaf_requests_total", Help: "Requests to cold leaves by whether the allowance of this VM had room for them.",
	}, []string{"result"})
	reg.MustRegister(requests)
	return &Allowance{
		self: self, zone: zone, limit: limit, division: division{zones}, clock: clock, start: clock(), requests: requests,
		sent: make(map[catalog.LeafID][]time.Time), kindOf: func(string) Kind { return Single },
	}
}

// SetCallers sets the addresses of the VMs of the own zone that call the services of each kind, with this VM's where it
// is one, and the kind of each service. The VMs include silent ones, which may be cut off from this VM and not from the
// leaves.
func (a *Allowance) SetCallers(callers map[Kind][]string, kindOf func(service string) Kind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers, a.kindOf = callers, kindOf
	a.dropOld(a.clock())
}

// dropOld drops the counts of leaves without a request in the latest window. Requires mu.
func (a *Allowance) dropOld(now time.Time) {
	for id, times := range a.sent {
		if now.Sub(times[len(times)-1]) >= window {
			delete(a.sent, id)
		}
	}
}

// Available reports whether this VM may send a request to the cold leaf now. rate is the rate that the leaf tolerates
// while it is cold.
func (a *Allowance) Available(leaf catalog.Leaf, rate float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.available(leaf, rate, a.clock())
}

// Take counts a request to the cold leaf and reports whether it may be sent.
func (a *Allowance) Take(leaf catalog.Leaf, rate float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	if !a.available(leaf, rate, now) {
		a.requests.WithLabelValues("refused").Inc()
		return false
	}
	a.sent[leaf.ID] = append(a.sent[leaf.ID], now)
	a.requests.WithLabelValues("sent").Inc()
	return true
}

// available implements Available. Requires mu.
func (a *Allowance) available(leaf catalog.Leaf, rate float64, now time.Time) bool {
	if now.Sub(a.start) < startDelay {
		return false
	}
	recent := slices.DeleteFunc(a.sent[leaf.ID], func(at time.Time) bool { return now.Sub(at) >= window })
	if len(recent) == 0 {
		delete(a.sent, leaf.ID)
	} else {
		a.sent[leaf.ID] = recent
	}
	return len(recent) < a.quota(leaf, rate)
}

// quota returns how many requests this VM may send to the cold leaf in a window. Requires mu.
func (a *Allowance) quota(leaf catalog.Leaf, rate float64) int {
	return a.division.quota(leaf, a.limit.requests(rate), a.callers[a.kindOf(leaf.Service)], a.self, a.zone)
}

// Dump returns the requests of the latest window to each cold leaf.
func (a *Allowance) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int, len(a.sent))
	for id, times := range a.sent {
		out[id.String()] = len(times)
	}
	return out
}
