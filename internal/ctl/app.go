package ctl

import (
	"encoding/json"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/google/wire"

	"github.com/burdockplank/burdockplank/internal/rpc"
)

// App is what the commands share.
type App struct {
	Streams
	// callers speaks to entries, operators to the operators' listeners.
	callers   CallerClient
	operators OperatorClient
	programs  Programs
	// asJSON is set from the command line before a command runs.
	asJSON bool
}

// Streams are where output and errors go.
type Streams struct{ Out, Err io.Writer }

// CallerClient speaks HTTP/2 without TLS to entries.
type CallerClient struct{ *http.Client }

// OperatorClient speaks HTTP/1.1 to operators' listeners.
type OperatorClient struct{ *http.Client }

// Set provides the App.
var Set = wire.NewSet(NewApp, NewCallerClient, NewOperatorClient, NewPrograms)

// NewApp returns the App.
func NewApp(s Streams, callers CallerClient, operators OperatorClient, programs Programs) *App {
	return &App{Streams: s, callers: callers, operators: operators, programs: programs}
}

// NewCallerClient returns a client that is bound to no address.
func NewCallerClient() CallerClient { return CallerClient{rpc.NewClient("")} }

// NewOperatorClient returns a client that keeps no connection open.
func NewOperatorClient() OperatorClient {
	return OperatorClient{&http.Client{Transport: &http.Transport{
		DialContext:       rpc.Dialer("").DialContext,
		DisableKeepAlives: true,
	}}}
}

// report is the result of a command: its exported fields as JSON, or text for people.
type report interface {
	writeText(w io.Writer)
}

// print writes a report in the form asked for.
func (a *App) print(r report) error {
	if a.asJSON {
		enc := json.NewEncoder(a.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	r.writeText(a.Out)
	return nil
}

// columnGap is the least space between columns.
const columnGap = 2

// newTable returns a writer that aligns cells ended by tabs; Flush writes them.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
}
