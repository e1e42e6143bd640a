package load

import "github.com/google/wire"

// Set provides the runner and what it needs from checked Settings.
var Set = wire.NewSet(
	NewRunner,
	ProvideSender,
	NewHTTPCounters,
	wire.Bind(new(Sender), new(*ConnectSender)),
	wire.Bind(new(Counters), new(*HTTPCounters)),
)

// ProvideSender returns the sender to the entries of checked settings.
func ProvideSender(s *Settings) (*ConnectSender, error) { return NewConnectSender(s.Load.Entries) }
