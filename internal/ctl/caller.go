package ctl

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
)

const (
	// defaultCallTimeout is the longest wait for an answer if no --timeout is given.
	defaultCallTimeout = time.Minute
	// callGracePeriod is the time to wait beyond the deadline, so that the entry's own outcome for an
	// exceeded deadline still arrives.
	callGracePeriod = 2 * time.Second
	// timeoutHeader carries the deadline to the entry, in milliseconds.
	timeoutHeader = "Connect-Timeout-Ms"
)

// CallerFlags holds the flags of commands that call an entry as a caller.
type CallerFlags struct {
	Entry     string        `required:"" placeholder:"IP:PORT" help:"Callers' listener of a burdock-entry."`
	TokenFile string        `required:"" help:"File with the caller's token."`
	Timeout   time.Duration `help:"Deadline of the request; the kind's own by default."`
}

// callerHTTP adds the caller's token and deadline to each request. It sets the deadline as a header and not on
// the context, because the context would expire just before the entry's answer for an exceeded deadline
// arrives.
type callerHTTP struct {
	client  *http.Client
	token   string
	timeout time.Duration
}

// Do implements connect.HTTPClient.
func (c callerHTTP) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set("Authorization", "Bearer "+c.token)
	if c.timeout > 0 {
		req.Header.Set(timeoutHeader, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	}
	return c.client.Do(req)
}

// client returns a client of the entry at f.Entry.
func (f *CallerFlags) client(app *App) (burdockv1connect.QueryServiceClient, error) {
	if err := checkAddress("--entry", f.Entry); err != nil {
		return nil, err
	}
	if f.Timeout < 0 || f.Timeout > 0 && f.Timeout < time.Millisecond {
		return nil, usageErrorf("--timeout: want 1ms or more, got %v", f.Timeout)
	}
	data, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return nil, eris.Wrap(err, "ctl.caller: read token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return nil, usageErrorf("%s: want one token on one line", f.TokenFile)
	}
	httpClient := *app.callers.Client
	httpClient.Timeout = defaultCallTimeout
	if f.Timeout > 0 {
		httpClient.Timeout = f.Timeout + callGracePeriod
	}
	return burdockv1connect.NewQueryServiceClient(
		callerHTTP{&httpClient, token, f.Timeout}, "http://"+f.Entry, connect.WithReadMaxBytes(maxAnswerBytes)), nil
}

// maxAnswerBytes bounds the size of an answer.
const maxAnswerBytes = 64 << 20
