package ctl

import (
	"encoding/json"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/google/wire"

	"github.com/burdockplank/burdockplank/internal/rpc"
)

// App holds the output streams and clients that the commands share.
type App struct {
	Streams
	// callers calls entries; operators calls the operators' listeners of processes.
	callers   CallerClient
	operators OperatorClient
	programs  Programs
	// asJSON selects JSON output. It is set from the command line before a command runs.
	asJSON bool
}

// Streams holds the writers for output and errors.
type Streams struct{ Out, Err io.Writer }

// CallerClient calls entries over HTTP/2 without TLS.
type CallerClient struct{ *http.Client }

// OperatorClient calls operators' listeners over HTTP/1.1.
type OperatorClient struct{ *http.Client }

// Set is the Wire provider set of App.
var Set = wire.NewSet(NewApp, NewCallerClient, NewOperatorClient, NewPrograms)

// NewApp returns an App with the given streams, clients and programs.
func NewApp(s Streams, callers CallerClient, operators OperatorClient, programs Programs) *App {
	return &App{Streams: s, callers: callers, operators: operators, programs: programs}
}

// NewCallerClient returns a client that is not bound to a local address.
func NewCallerClient() CallerClient { return CallerClient{rpc.NewClient("")} }

// NewOperatorClient returns a client that opens a new connection for each request.
func NewOperatorClient() OperatorClient {
	return OperatorClient{&http.Client{Transport: &http.Transport{
		DialContext:       rpc.Dialer("").DialContext,
		DisableKeepAlives: true,
	}}}
}

// report is the result of a command. It is printed as JSON of its exported fields or as text.
type report interface {
	writeText(w io.Writer)
}

// print writes the report to a.Out, as indented JSON if a.asJSON is set and as text otherwise.
func (a *App) print(r report) error {
	if a.asJSON {
		enc := json.NewEncoder(a.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	r.writeText(a.Out)
	return nil
}

// columnGap is the minimum number of spaces between columns.
const columnGap = 2

// newTable returns a writer that aligns tab-terminated cells in columns. Flush writes the table to w.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
}
