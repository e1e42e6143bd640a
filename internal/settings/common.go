package settings

import (
	"net"
	"regexp"
	"strconv"
)

// Log is the settings table of a program's log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// VM is the settings table of the VM that a process runs on.
type VM struct {
	// ID is the id of the VM. It must be the one in the platform's list.
	ID string `toml:"id"`
	// Zone is the VM's availability zone.
	Zone string `toml:"zone"`
	// Bind is the IP address that the process listens on and that its outgoing connections come from.
	Bind string `toml:"bind"`
	// Address is the IP address at which other VMs reach this one. If empty, it is Bind.
	Address string `toml:"address"`
}

// Advertised returns the IP address at which other VMs reach this one.
func (v VM) Advertised() string {
	if v.Address != "" {
		return v.Address
	}
	return v.Bind
}

// Operator is the settings table of the operators' listener, which is separate from the callers' one.
type Operator struct {
	// Listen is IP:PORT, on loopback by default.
	Listen string `toml:"listen"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s is a valid name of a VM, availability zone, service, kind, caller or leaf:
// 1 to 63 characters of a-z, 0-9, '.' and '-' that start and end with a letter or digit.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Check refuses an unknown level.
func (l Log) Check(c *Checker) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		c.Require(false, "log.level", "want debug, info, warn or error, got %q", l.Level)
	}
}

// Check refuses invalid names and IP addresses.
func (v VM) Check(c *Checker) {
	c.Require(ValidName(v.ID), "vm.id", "want a name of a-z, 0-9, '.' and '-', got %q", v.ID)
	c.Require(ValidName(v.Zone), "vm.zone", "want a name of a-z, 0-9, '.' and '-', got %q", v.Zone)
	c.Require(net.ParseIP(v.Bind) != nil, "vm.bind", "want an IP number, got %q", v.Bind)
	c.Require(v.Address == "" || net.ParseIP(v.Address) != nil, "vm.address", "want an IP number, got %q", v.Address)
}

// Check refuses a listen address that is not IP:PORT.
func (o Operator) Check(c *Checker) { CheckHostPort(c, "operator.listen", o.Listen) }

// CheckHostPort refuses an address that is not IP:PORT.
func CheckHostPort(c *Checker, key, addr string) {
	c.Require(ValidHostPort(addr), key, "want IP:PORT, got %q", addr)
}

// ValidHostPort reports whether addr is IP:PORT. It checks only that the port is not empty.
func ValidHostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// CheckPort refuses a port outside 1 to 65535.
func CheckPort(c *Checker, key string, port int) {
	c.Require(port >= 1 && port <= 65535, key, "want a port from 1 to 65535, got %d", port)
}

// Default ports of the processes of a VM. The sync process uses the number of its TCP port for UDP, too.
const (
	DefaultEntryPort  = 7400
	DefaultGatherPort = 7401
	DefaultSyncPort   = 7402
	// The ports of the operators' listeners of the entry, gather and sync processes.
	DefaultEntryOperatorPort  = 7410
	DefaultGatherOperatorPort = 7411
	DefaultSyncOperatorPort   = 7412
)

// HostPort returns IP:PORT.
func HostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
