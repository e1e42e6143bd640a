package leaf

import (
	"strconv"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// The defaults of a leaf's settings, used where a key is absent or zero.
const (
	defaultZone         = "az-1"
	defaultSlots        = 3
	defaultConnections  = 30
	defaultQueue        = 8
	defaultDocuments    = 1000
	defaultServiceTime  = 3 * time.Millisecond
	defaultReportLag    = time.Second
	defaultSearchLog    = 100_000
	defaultRestartAfter = time.Second
)

// anyPort is the suffix of an address whose port the operating system chooses.
const anyPort = ":0"

// Settings are the settings of one leaf.
type Settings struct {
	ID      string `toml:"id"`
	Zone    string `toml:"zone"`
	Service string `toml:"service"`
	// Listen and Control are IP:PORT of the LeafService and of the control listener.
	Listen  string `toml:"listen"`
	Control string `toml:"control"`
	// Slots is the number of calls that run at once, Queue the number that may wait besides, Connections
	// the number of connections that may be open in all.
	Slots       int  `toml:"slots"`
	Queue       *int `toml:"queue"`
	Connections int  `toml:"connections"`
	// Snapshots are the index versions that the leaf has at the start, Shards the shards of each.
	Snapshots []uint64 `toml:"snapshots"`
	Shards    []uint32 `toml:"shards"`
	// Documents is the number of documents in each shard, HitBytes the length in bytes that the
	// text of a hit is padded to.
	Documents uint64 `toml:"documents"`
	HitBytes  int    `toml:"hit_bytes"`
	// ServiceTime is the median service time of a call, ServiceSigma the sigma of its lognormal
	// distribution; 0 is no spread.
	ServiceTime  settings.Duration `toml:"service_time"`
	ServiceSigma float64           `toml:"service_sigma"`
	// ColdStart is the time after a start during which calls are slower; the service time falls linearly
	// to the typical one.
	ColdStart settings.Duration `toml:"cold_start"`
	// ConnectDelay is the time from a connection's start until its first byte is read.
	ConnectDelay settings.Duration `toml:"connect_delay"`
	// ReportLag is the minimum age of the reported load.
	ReportLag settings.Duration `toml:"report_lag"`
	// Seed sets the random source of service times; 0 derives it from ID.
	Seed uint64 `toml:"seed"`
	// SearchLog is the number of searches that are logged in memory; later ones are only counted. Below 0
	// none is logged.
	SearchLog int `toml:"search_log"`
	// LogFile is a file of JSON lines to which each execution and search start is appended before its
	// effect, so that the line survives a kill; empty is no file.
	LogFile string `toml:"log_file"`
	// CrashMark is the initial CrashMark of the faults; empty is none.
	CrashMark string `toml:"crash_mark"`
	// RestartAfter is the time from a crash to the restart of a leaf that shares its process.
	RestartAfter settings.Duration `toml:"restart_after"`
}

// Check fills in the defaults and reports invalid values to c.
func (s *Settings) Check(c *settings.Checker) { s.check(c, "", "") }

// check fills in the defaults and reports invalid values to c. prefix goes before keys; where names the
// leaf in reasons.
func (s *Settings) check(c *settings.Checker, prefix, where string) {
	s.fillDefaults()
	require := func(ok bool, key, reason string, args ...any) {
		c.Require(ok, prefix+key, where+reason, args...)
	}
	require(settings.ValidName(s.ID), "id", "want a name of a-z, 0-9, '.' and '-', got %q", s.ID)
	require(settings.ValidName(s.Zone), "zone", "want a name of a-z, 0-9, '.' and '-', got %q", s.Zone)
	require(settings.ValidName(s.Service), "service", "want a name of a-z, 0-9, '.' and '-', got %q", s.Service)
	require(settings.ValidHostPort(s.Listen), "listen", "want IP:PORT, got %q", s.Listen)
	require(settings.ValidHostPort(s.Control), "control", "want IP:PORT, got %q", s.Control)
	require(s.Slots > 0, "slots", "want at least 1, got %d", s.Slots)
	require(*s.Queue >= 0, "queue", "want at least 0, got %d", *s.Queue)
	require(s.Connections > 0, "connections", "want at least 1, got %d", s.Connections)
	require(s.HitBytes >= 0, "hit_bytes", "want at least 0, got %d", s.HitBytes)
	require(s.ServiceSigma >= 0, "service_sigma", "want at least 0, got %v", s.ServiceSigma)
	notNegative := func(key string, d settings.Duration) {
		require(d >= 0, key, "want at least 0, got %v", d.D())
	}
	notNegative("service_time", s.ServiceTime)
	notNegative("cold_start", s.ColdStart)
	notNegative("connect_delay", s.ConnectDelay)
	notNegative("report_lag", s.ReportLag)
	notNegative("restart_after", s.RestartAfter)
}

func (s *Settings) fillDefaults() {
	setDefault(&s.Zone, defaultZone)
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.Connections, defaultConnections)
	setDefault(&s.Documents, defaultDocuments)
	setDefault(&s.ServiceTime, settings.Duration(defaultServiceTime))
	setDefault(&s.ReportLag, settings.Duration(defaultReportLag))
	setDefault(&s.SearchLog, defaultSearchLog)
	setDefault(&s.RestartAfter, settings.Duration(defaultRestartAfter))
	if s.Queue == nil {
		queue := defaultQueue
		s.Queue = &queue
	}
	if s.Snapshots == nil {
		s.Snapshots = []uint64{1}
	}
	if s.Shards == nil {
		s.Shards = []uint32{0}
	}
}

// setDefault sets *v to defaultValue if it is zero.
func setDefault[T comparable](v *T, defaultValue T) {
	var zero T
	if *v == zero {
		*v = defaultValue
	}
}

// GroupSettings are the settings of leaves that run in one process.
type GroupSettings struct {
	Leaves []Settings `toml:"leaf"`
}

// Check fills in the defaults and reports invalid values and duplicate ids or addresses to c.
func (g *GroupSettings) Check(c *settings.Checker) {
	c.Require(len(g.Leaves) > 0, "leaf", "want at least one [[leaf]]")
	takenBy := make(map[string]int)
	for i := range g.Leaves {
		s := &g.Leaves[i]
		s.check(c, "leaf.", "[[leaf]] number "+strconv.Itoa(i+1)+": ")
		unique := func(key, value string) {
			other, taken := takenBy[value]
			c.Require(!taken, "leaf."+key, "[[leaf]] number %d: %q is taken by number %d", i+1, value, other)
			if !strings.HasSuffix(value, anyPort) {
				takenBy[value] = i + 1
			}
		}
		unique("id", s.ID)
		unique("listen", s.Listen)
		unique("control", s.Control)
	}
}
