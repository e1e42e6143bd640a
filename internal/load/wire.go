package load

import "github.com/google/wire"

// Set provides the runner and its dependencies from validated Settings.
var Set = wire.NewSet(
	NewRunner,
	ProvideSender,
	NewHTTPCounters,
	wire.Bind(new(Sender), new(*ConnectSender)),
	wire.Bind(new(Counters), new(*HTTPCounters)),
)

// ProvideSender returns the sender to the entries of validated settings.
func ProvideSender(s *Settings) (*ConnectSender, error) { return NewConnectSender(s.Load.Entries) }
