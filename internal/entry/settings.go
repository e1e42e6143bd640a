// Package entry serves the callers. It authenticates a caller, checks the request and its deadline,
// admits it, forwards it to a gather, and answers every request with a typed outcome.
package entry

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/admission"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// Settings of burdock-entry.
type Settings struct {
	VM       settings.VM       `toml:"vm"`
	Operator settings.Operator `toml:"operator"`
	Log      settings.Log      `toml:"log"`
	Entry    ListenSettings    `toml:"entry"`
	Sync     SyncSettings      `toml:"sync"`
	Drain    DrainSettings     `toml:"drain"`
	// Admission applies to each service separately.
	Admission admission.Settings `toml:"admission"`
}

// ListenSettings are the settings of the callers' listener.
type ListenSettings struct {
	Port int `toml:"port"`
	// MaxBodyBytes is the hard cap of a request's body, whatever the bundle's limits say.
	MaxBodyBytes int `toml:"max_body_bytes"`
	// MemoryBytes bounds what callers make the process hold: half of it their connections, half their requests.
	MemoryBytes int64 `toml:"memory_bytes"`
	// BodyTimeout is how long a caller may take to send the body.
	BodyTimeout settings.Duration `toml:"body_timeout"`
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout settings.Duration `toml:"idle_timeout"`
	// ReplyMargin is subtracted from the caller's deadline to give the gather's deadline.
	ReplyMargin settings.Duration `toml:"reply_margin"`
}

// SyncSettings are the settings of the VM's burdock-sync.
type SyncSettings struct {
	// Address is IP:PORT; empty means the VM's own address and the default port.
	Address string `toml:"address"`
}

// DrainSettings are the settings of the graceful shutdown.
type DrainSettings struct {
	// BalancerLag is how long the platform's load balancer may keep sending callers after /ready
	// reports not ready.
	BalancerLag settings.Duration `toml:"balancer_lag"`
	// Limit bounds the whole drain.
	Limit settings.Duration `toml:"limit"`
}

// DefaultSettings returns the defaults of all settings that have one.
func DefaultSettings() *Settings {
	return &Settings{
		VM:       settings.VM{Bind: "127.0.0.1"},
		Operator: settings.Operator{Listen: settings.HostPort("127.0.0.1", settings.DefaultEntryOperatorPort)},
		Log:      settings.Log{Level: "info"},
		Entry: ListenSettings{
			Port:         settings.DefaultEntryPort,
			MaxBodyBytes: 64 << 10,
			MemoryBytes:  96 << 20,
			BodyTimeout:  settings.Duration(5 * time.Second),
			IdleTimeout:  settings.Duration(2 * time.Minute),
			ReplyMargin:  settings.Duration(10 * time.Millisecond),
		},
		Drain: DrainSettings{
			BalancerLag: settings.Duration(5 * time.Second),
			Limit:       settings.Duration(30 * time.Second),
		},
		Admission: admission.DefaultSettings(),
	}
}

// The bounds of the settings.
const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 16 << 20
	minMemoryBytes = 4 << 20
	maxTimeSetting = 10 * time.Minute
)

// Check implements settings.Checked.
func (s *Settings) Check(c *settings.Checker) {
	s.VM.Check(c)
	s.Operator.Check(c)
	s.Log.Check(c)
	settings.CheckPort(c, "entry.port", s.Entry.Port)
	c.Require(s.Entry.MaxBodyBytes >= minBodyBytes && s.Entry.MaxBodyBytes <= maxBodyBytes,
		"entry.max_body_bytes", "want %d to %d, got %d", minBodyBytes, maxBodyBytes, s.Entry.MaxBodyBytes)
	c.Require(s.Entry.MemoryBytes >= minMemoryBytes, "entry.memory_bytes", "want at least %d, got %d", minMemoryBytes, s.Entry.MemoryBytes)
	checkTime(c, "entry.body_timeout", s.Entry.BodyTimeout, time.Millisecond)
	checkTime(c, "entry.idle_timeout", s.Entry.IdleTimeout, time.Second)
	checkTime(c, "entry.reply_margin", s.Entry.ReplyMargin, 0)
	if s.Sync.Address != "" {
		settings.CheckHostPort(c, "sync.address", s.Sync.Address)
	}
	s.Admission.Check(c, "admission")
	checkTime(c, "drain.balancer_lag", s.Drain.BalancerLag, 0)
	checkTime(c, "drain.limit", s.Drain.Limit, time.Second)
	c.Require(s.Drain.Limit > s.Drain.BalancerLag, "drain.limit",
		"want more than drain.balancer_lag, %s, got %s", s.Drain.BalancerLag.D(), s.Drain.Limit.D())
}

// checkTime refuses a time out of range.
func checkTime(c *settings.Checker, key string, d settings.Duration, minimum time.Duration) {
	c.Require(d.D() >= minimum && d.D() <= maxTimeSetting, key, "want %s to %s, got %s", minimum, maxTimeSetting, d.D())
}

// Listen returns the IP:PORT that callers connect to.
func (s *Settings) Listen() string { return settings.HostPort(s.VM.Bind, s.Entry.Port) }

// SyncAddress returns the IP:PORT of the VM's burdock-sync.
func (s *Settings) SyncAddress() string {
	if s.Sync.Address != "" {
		return s.Sync.Address
	}
	return settings.HostPort(s.VM.Bind, settings.DefaultSyncPort)
}
