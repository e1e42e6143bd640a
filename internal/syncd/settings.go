// Package syncd is burdock-sync: it reads the platform where it is this VM's turn, spreads bundles,
// the list, membership and evidence between VMs, and feeds the entry and gather of its VM.
package syncd

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings of burdock-sync.
type Settings struct {
	VM       settings.VM          `toml:"vm"`
	Operator settings.Operator    `toml:"operator"`
	Log      settings.Log         `toml:"log"`
	Sync     SyncSettings         `toml:"sync"`
	Platform PlatformSettings     `toml:"platform"`
	Trust    bundle.TrustSettings `toml:"trust"`
	Drain    DrainSettings        `toml:"drain"`
}

// SyncSettings is the settings table [sync].
type SyncSettings struct {
	// Port of TCP and UDP, on vm.bind.
	Port int `toml:"port"`
	// Fleet names the fleet; VMs of another one are refused.
	Fleet string `toml:"fleet"`
	// Seeds are syncs (IP:PORT) to ask at the start while the platform gives no list.
	Seeds []string `toml:"seeds"`
}

// PlatformSettings is the settings table [platform].
type PlatformSettings struct {
	// Address is IP:PORT of the platform's configuration service.
	Address string `toml:"address"`
}

// DrainSettings is the settings table [drain].
type DrainSettings struct {
	// Limit bounds how long the sync waits for draining processes of its VM at its own end.
	Limit settings.Duration `toml:"limit"`
}

// defaultDrainLimit is above the drain limits of entry and gather.
const defaultDrainLimit = 90 * time.Second

// maxDrainLimit bounds what can be set.
const maxDrainLimit = time.Hour

// DefaultSettings are the settings before the file is read.
func DefaultSettings() *Settings {
	return &Settings{
		Operator: settings.Operator{Listen: net.JoinHostPort("127.0.0.1", strconv.Itoa(settings.DefaultSyncOperatorPort))},
		Log:      settings.Log{Level: "info"},
		Sync:     SyncSettings{Port: settings.DefaultSyncPort},
		Drain:    DrainSettings{Limit: settings.Duration(defaultDrainLimit)},
	}
}

// Check implements settings.Checked.
func (s *Settings) Check(c *settings.Checker) {
	s.VM.Check(c)
	bind := net.ParseIP(s.VM.Bind)
	c.Require(bind == nil || !bind.IsUnspecified(), "vm.bind", "want the VM's own IP number, by which the sync knows the processes of its VM, got %q", s.VM.Bind)
	s.Operator.Check(c)
	s.Log.Check(c)
	settings.CheckPort(c, "sync.port", s.Sync.Port)
	c.Require(settings.ValidName(s.Sync.Fleet), "sync.fleet", "want a name of a-z, 0-9, '.' and '-', got %q", s.Sync.Fleet)
	for i, seed := range s.Sync.Seeds {
		host, port, err := net.SplitHostPort(seed)
		ok := err == nil && net.ParseIP(host) != nil && port != ""
		c.Require(ok, "sync.seeds", "want IP:PORT, got %q at place %d", seed, i+1)
	}
	settings.CheckHostPort(c, "platform.address", s.Platform.Address)
	s.Trust.Check(c)
	limit := s.Drain.Limit.D()
	c.Require(limit >= 0 && limit <= maxDrainLimit, "drain.limit", "want 0s to %s, got %s", maxDrainLimit, limit)
}

// Listen returns IP:PORT of TCP and UDP.
func (s *Settings) Listen() string { return net.JoinHostPort(s.VM.Bind, fmt.Sprint(s.Sync.Port)) }
