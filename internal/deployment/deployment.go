// Package deployment holds what a VM is told of itself and its surroundings when its process starts,
// free of the format in which it is told.
package deployment

import (
	"net/netip"
	"time"

	"github.com/burdockplank/burdockplank/internal/retrybudget"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings of one VM.
type Settings struct {
	// VMName is its name, Zone its availability zone.
	VMName, Zone string
	// IP is the VM's own address, from which it opens connections.
	IP string
	// CallersAddress, Ready and Peers are the addresses (IP:PORT) at which callers, the balancer's readiness
	// check and the other VMs are served.
	CallersAddress, ReadinessAddress, PeersAddress string
	// Seeds are addresses of other VMs to ask first; some may be stale or down.
	Seeds []string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// Millicores of the processor that the VM has; 0 where it isn't told.
	Millicores int
	// MemoryBytes is the process's memory limit.
	MemoryBytes int64
	// RetryBudget is what the whole fleet may send in extra calls to a service.
	RetryBudget retrybudget.Limit
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// ConfigApplyBound is the time within which a change of the configuration is in force everywhere.
	ConfigApplyBound time.Duration
}

// Check implements settings.Checked.
func (s *Settings) Check(c *settings.Checker) {
	c.Require(s.VMName != "", "VM name", "missing")
	c.Require(s.Zone != "", "availability zone", "missing")
	_, err := netip.ParseAddr(s.IP)
	c.Require(err == nil, "IP", "want an IP number, got %q", s.IP)
	for _, a := range []struct{ key, value string }{
		{"callers' address", s.CallersAddress}, {"readiness address", s.ReadinessAddress}, {"peers' address", s.PeersAddress}, {"store's address", s.StoreAddress},
	} {
		checkAddress(c, a.key, a.value)
	}
	for _, seed := range s.Seeds {
		checkAddress(c, "seed", seed)
	}
	c.Require(s.Millicores >= 0 && s.Millicores <= maxMillicores, "processor", "want 0 to %d millicores, got %d", maxMillicores, s.Millicores)
	c.Require(s.MemoryBytes >= minMemoryBytes, "memory", "want %d bytes at least, got %d", minMemoryBytes, s.MemoryBytes)
	c.Require(s.RetryBudget.Ratio >= 0 && s.RetryBudget.Ratio <= 1, "retry budget's ratio", "want 0 to 1, got %g", s.RetryBudget.Ratio)
	c.Require(s.RetryBudget.Slack >= 0, "retry budget's slack", "want 0 or more, got %g", s.RetryBudget.Slack)
	c.Require(s.RetryBudget.Window >= minRetryWindow, "retry budget's window", "want %v at least, got %v", minRetryWindow, s.RetryBudget.Window)
	c.Require(s.ConfigApplyBound >= minConfigApplyBound, "configuration's bound", "want %v at least, got %v", minConfigApplyBound, s.ConfigApplyBound)
	c.Require(s.GracePeriod >= minGracePeriod && s.GracePeriod <= maxGracePeriod, "grace period", "want %v to %v, got %v", minGracePeriod, maxGracePeriod, s.GracePeriod)
}

const (
	// minMemoryBytes is what the process takes without load, with room for its runtime.
	minMemoryBytes = 32 << 20
	// maxMillicores is far above any VM.
	maxMillicores = 1_000_000
	// minGracePeriod is what the balancer's two missed checks and a request need; graceMost is far above any
	// orderly stop.
	minGracePeriod, maxGracePeriod = time.Second, time.Hour
	// minRetryWindow holds the spans that the budget counts in, boundLeast a poll of the store and its spread.
	minRetryWindow, minConfigApplyBound = time.Second, 500 * time.Millisecond
)

func checkAddress(c *settings.Checker, key, value string) {
	_, err := netip.ParseAddrPort(value)
	c.Require(err == nil, key, "want IP:PORT, got %q", value)
}
