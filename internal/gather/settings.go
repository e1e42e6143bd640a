// Package gather is the part of burdock-gather that serves the entries: it identifies requests,
// passes searches to the search engine and orders to the order manager, and drains in order.
package gather

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/quarantine"
	"github.com/burdockplank/burdockplank/internal/search"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings of burdock-gather.
type Settings struct {
	VM         settings.VM         `toml:"vm"`
	Operator   settings.Operator   `toml:"operator"`
	Log        settings.Log        `toml:"log"`
	Gather     Listen              `toml:"gather"`
	Sync       Sync                `toml:"sync"`
	Drain      Drain               `toml:"drain"`
	Balance    balance.Settings    `toml:"balance"`
	Search     search.Settings     `toml:"search"`
	Quarantine quarantine.Settings `toml:"quarantine"`
}

// Listen is the table [gather].
type Listen struct {
	// Port on vm.bind for entries and other gathers.
	Port int `toml:"port"`
	// BundleWait is how long a request waits for a bundle that its entry has and this gather does
	// not have yet.
	BundleWait settings.Duration `toml:"bundle_wait"`
}

// Sync is the table [sync].
type Sync struct {
	// Address of the VM's own sync process; empty means vm.bind and the default port.
	Address string `toml:"address"`
}

// Drain is the table [drain].
type Drain struct {
	// Notice is how long a draining gather keeps listening after it notified the other VMs. It
	// serves the entries that have not yet learned of the drain, and refuses their requests as not
	// run.
	Notice settings.Duration `toml:"notice"`
	// Limit bounds the drain.
	Limit settings.Duration `toml:"limit"`
}

// DefaultSettings returns the defaults. VM id, zone and bind have none.
func DefaultSettings() *Settings {
	return &Settings{
		Operator:   settings.Operator{Listen: settings.HostPort("127.0.0.1", settings.DefaultGatherOperatorPort)},
		Log:        settings.Log{Level: "info"},
		Gather:     Listen{Port: settings.DefaultGatherPort, BundleWait: settings.Duration(200 * time.Millisecond)},
		Drain:      Drain{Notice: settings.Duration(2 * time.Second), Limit: settings.Duration(30 * time.Second)},
		Balance:    balance.DefaultSettings(),
		Search:     search.DefaultSettings(),
		Quarantine: quarantine.DefaultSettings(),
	}
}

// Check implements settings.Checked.
func (s *Settings) Check(c *settings.Checker) {
	s.VM.Check(c)
	s.Operator.Check(c)
	s.Log.Check(c)
	settings.CheckPort(c, "gather.port", s.Gather.Port)
	c.Require(s.Gather.BundleWait.D() >= 0 && s.Gather.BundleWait.D() <= 10*time.Second, "gather.bundle_wait", "want 0s to 10s, got %s", s.Gather.BundleWait.D())
	if s.Sync.Address != "" {
		settings.CheckHostPort(c, "sync.address", s.Sync.Address)
	}
	c.Require(s.Drain.Notice.D() >= 0, "drain.notice", "want 0s or more, got %s", s.Drain.Notice.D())
	c.Require(s.Drain.Limit.D() > s.Drain.Notice.D(), "drain.limit", "want more than drain.notice, got %s", s.Drain.Limit.D())
	s.Balance.Check(c)
	s.Search.Check(c)
	s.Quarantine.Check(c)
}

// SyncAddress returns the address of the VM's own sync process.
func (s *Settings) SyncAddress() string {
	if s.Sync.Address != "" {
		return s.Sync.Address
	}
	return settings.HostPort(s.VM.Bind, settings.DefaultSyncPort)
}

// ListenAddress returns the address that entries and other gathers connect to.
func (s *Settings) ListenAddress() string {
	return settings.HostPort(s.VM.Bind, s.Gather.Port)
}
