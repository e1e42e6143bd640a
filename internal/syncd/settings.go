// Package syncd implements burdock-sync. It reads the platform while this VM is one of the readers
// of its zone, spreads bundles, the list, membership and evidence between VMs, and feeds the entry
// and gather processes of its VM.
package syncd

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings holds the settings of burdock-sync.
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
	// Port is the TCP and UDP port on vm.bind.
	Port int `toml:"port"`
	// Fleet is the name of the fleet. VMs of another fleet are refused.
	Fleet string `toml:"fleet"`
	// Seeds are syncs (IP:PORT) to query at the start while the platform returns no list.
	Seeds []string `toml:"seeds"`
}

// PlatformSettings is the settings table [platform].
type PlatformSettings struct {
	// Address is IP:PORT of the platform's configuration service.
	Address string `toml:"address"`
}

// DrainSettings is the settings table [drain].
type DrainSettings struct {
	// Limit bounds how long the sync waits at shutdown for draining processes of its VM.
	Limit settings.Duration `toml:"limit"`
}

// defaultDrainLimit exceeds the drain limits of entry and gather.
const defaultDrainLimit = 90 * time.Second

// maxDrainLimit is the maximum value of drain.limit.
const maxDrainLimit = time.Hour

// DefaultSettings returns the settings that apply before the file is read.
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

// Listen returns the IP:PORT for TCP and UDP.
func (s *Settings) Listen() string { return net.JoinHostPort(s.VM.Bind, fmt.Sprint(s.Sync.Port)) }
