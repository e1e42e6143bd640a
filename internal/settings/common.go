package settings

import (
	"net"
	"regexp"
	"strconv"
)

// Log says how a program logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// VM is what a process knows of the VM it runs on.
type VM struct {
	// ID names the VM; it must be the id in the platform's list.
	ID string `toml:"id"`
	// Zone is the VM's availability zone.
	Zone string `toml:"zone"`
	// Bind is the IP number that the process listens on and that its outgoing connections come from.
	Bind string `toml:"bind"`
	// Address is the IP number at which other VMs reach this one; Bind where it is empty.
	Address string `toml:"address"`
}

// Advertised returns the IP number at which other VMs reach this one.
func (v VM) Advertised() string {
	if v.Address != "" {
		return v.Address
	}
	return v.Bind
}

// Operator is the operators' listener, apart from the callers' one.
type Operator struct {
	// Listen is HOST:PORT; loopback by default.
	Listen string `toml:"listen"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName tells whether s can name a VM, availability zone, service, kind, caller or leaf.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Check refuses a level that doesn't exist.
func (l Log) Check(c *Checker) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		c.Require(false, "log.level", "want debug, info, warn or error, got %q", l.Level)
	}
}

// Check refuses names and addresses that can't be used.
func (v VM) Check(c *Checker) {
	c.Require(ValidName(v.ID), "vm.id", "want a name of a-z, 0-9, '.' and '-', got %q", v.ID)
	c.Require(ValidName(v.Zone), "vm.zone", "want a name of a-z, 0-9, '.' and '-', got %q", v.Zone)
	c.Require(net.ParseIP(v.Bind) != nil, "vm.bind", "want an IP number, got %q", v.Bind)
	c.Require(v.Address == "" || net.ParseIP(v.Address) != nil, "vm.address", "want an IP number, got %q", v.Address)
}

// Check refuses an address that can't be listened on.
func (o Operator) Check(c *Checker) { CheckHostPort(c, "operator.listen", o.Listen) }

// CheckHostPort refuses an address that isn't IP:PORT.
func CheckHostPort(c *Checker, key, addr string) {
	c.Require(ValidHostPort(addr), key, "want IP:PORT, got %q", addr)
}

// ValidHostPort tells whether addr is IP:PORT.
func ValidHostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// CheckPort refuses a port out of range.
func CheckPort(c *Checker, key string, port int) {
	c.Require(port >= 1 && port <= 65535, key, "want a port from 1 to 65535, got %d", port)
}

// The default ports of a VM's processes. UDP of the sync uses the number of its TCP port.
const (
	DefaultEntryPort  = 7400
	DefaultGatherPort = 7401
	DefaultSyncPort   = 7402
	// The operators' listeners of entry, gather and sync.
	DefaultEntryOperatorPort  = 7410
	DefaultGatherOperatorPort = 7411
	DefaultSyncOperatorPort   = 7412
)

// HostPort returns IP:PORT.
func HostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
