package load

import (
	"fmt"
	"net"
)

// TargetError refuses an address that load may not be sent to.
type TargetError struct {
	Address string
	Reason  string
}

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("load: target %q refused: %s", e.Address, e.Reason)
}

// CheckTarget refuses an address other than IP:PORT with a loopback IP number. Names are refused
// too, for what they resolve to may change.
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
