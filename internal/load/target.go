package load

import (
	"fmt"
	"net"
)

// TargetError is the error for an address that load must not be sent to.
type TargetError struct {
	Address string
	Reason  string
}

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("load: target %q refused: %s", e.Address, e.Reason)
}

// CheckTarget returns a *TargetError unless the address is IP:PORT with a loopback IP address. Host
// names are refused, too, because what they resolve to may change.
func CheckTarget(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return &TargetError{Address: address, Reason: "want IP:PORT"}
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return &TargetError{Address: address, Reason: "want an IP number"}
	}
	if !ip.IsLoopback() {
		return &TargetError{Address: address, Reason: "not a loopback address"}
	}
	return nil
}
