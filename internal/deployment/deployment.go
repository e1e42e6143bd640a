// Package deployment holds what the process of a VM learns at its start about itself and its environment,
// independent of the format of the settings file.
package deployment

import (
	"net/netip"
	"time"

	"github.com/burdockplank/burdockplank/internal/retrybudget"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/warmup"
)

// Settings are the settings of one VM.
type Settings struct {
	// VMName is the VM's name, Zone its availability zone.
	VMName, Zone string
	// Regions holds the region of each availability zone of the deployment.
	Regions map[string]string
	// IP is the VM's own address, from which it opens connections.
	IP string
	// CallersAddress, ReadinessAddress and PeersAddress are the addresses (IP:PORT) that serve callers, the
	// balancer's readiness check and the other VMs.
	CallersAddress, ReadinessAddress, PeersAddress string
	// Seeds are addresses of other VMs to contact first. Some may be stale or down.
	Seeds []string
	// StoreAddress is the address (IP:PORT) of the platform's store.
	StoreAddress string
	// Millicores is the VM's processor share in thousandths of a core, or 0 where it is unknown.
	Millicores int
	// MemoryBytes is the process's memory limit.
	MemoryBytes int64
	// FileDescriptors is the process's limit of open file descriptors, or 0 where it is unknown.
	FileDescriptors int
	// RetryBudget limits the extra calls of the whole fleet to a service.
	RetryBudget retrybudget.Limit
	// Warmup limits the requests of the whole fleet to a cold leaf.
	Warmup warmup.Limit
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// ConfigApplyBound is the time within which a change of the configuration must be in force on all VMs.
	ConfigApplyBound time.Duration
	// DrainTimeout is how long after its removal, or the announcement of its shutdown, a leaf may get requests; 0 where it is
	// unknown.
	DrainTimeout time.Duration
	// HeartbeatInterval is how often a leaf writes its entry; 0 where it is unknown.
	HeartbeatInterval time.Duration
}

// ChangeBound returns the time within which a change of what the store holds must be known to all VMs.
func (s *Settings) ChangeBound() time.Duration {
	if s.DrainTimeout > 0 {
		return min(s.ConfigApplyBound, s.DrainTimeout)
	}
	return s.ConfigApplyBound
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
	c.Require(s.MemoryBytes >= minMemoryBytes, "memory", "want at least %d bytes, got %d", minMemoryBytes, s.MemoryBytes)
	c.Require(s.FileDescriptors >= 0, "file descriptors", "want 0 or more, got %d", s.FileDescriptors)
	c.Require(s.RetryBudget.Ratio >= 0 && s.RetryBudget.Ratio <= 1, "retry budget's ratio", "want 0 to 1, got %g", s.RetryBudget.Ratio)
	c.Require(s.RetryBudget.Slack >= 0, "retry budget's slack", "want 0 or more, got %g", s.RetryBudget.Slack)
	c.Require(s.RetryBudget.Window >= minRetryWindow, "retry budget's window", "want at least %v, got %v", minRetryWindow, s.RetryBudget.Window)
	c.Require(s.Warmup.Overage >= 0, "cold leaves' overage", "want 0 or more, got %g", s.Warmup.Overage)
	c.Require(s.Warmup.Slack >= 0, "cold leaves' slack", "want 0 or more, got %g", s.Warmup.Slack)
	c.Require(s.ConfigApplyBound >= minConfigApplyBound, "configuration's bound", "want at least %v, got %v", minConfigApplyBound, s.ConfigApplyBound)
	c.Require(s.DrainTimeout == 0 || s.DrainTimeout >= minConfigApplyBound, "drain timeout", "want 0 or at least %v, got %v", minConfigApplyBound, s.DrainTimeout)
	c.Require(s.HeartbeatInterval >= 0, "heartbeat interval", "want 0 or more, got %v", s.HeartbeatInterval)
	c.Require(s.GracePeriod >= minGracePeriod && s.GracePeriod <= maxGracePeriod, "grace period", "want %v to %v, got %v", minGracePeriod, maxGracePeriod, s.GracePeriod)
}

const (
	// minMemoryBytes is the memory of the process without load, with room for its runtime.
	minMemoryBytes = 32 << 20
	// maxMillicores is far above any VM.
	maxMillicores = 1_000_000
	// minGracePeriod covers the balancer's two failed checks and a request. maxGracePeriod is far above any
	// orderly stop.
	minGracePeriod, maxGracePeriod = time.Second, time.Hour
	// minRetryWindow covers the intervals that the retry budget counts in, minConfigApplyBound a poll of the
	// store and the distribution of its result.
	minRetryWindow, minConfigApplyBound = time.Second, 500 * time.Millisecond
)

func checkAddress(c *settings.Checker, key, value string) {
	_, err := netip.ParseAddrPort(value)
	c.Require(err == nil, key, "want IP:PORT, got %q", value)
}
