package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// maxDumpBytes bounds the size of a page read from an operators' listener.
const maxDumpBytes = 64 << 20

// checkAddress returns a usage error if addr isn't IP:PORT. The error names the flag.
func checkAddress(flag, addr string) error {
	if a, err := netip.ParseAddrPort(addr); err != nil || a.Port() == 0 {
		return usageErrorf("%s: want IP:PORT, got %q", flag, addr)
	}
	return nil
}

// get reads a page of an operators' listener. It returns the HTTP status and the body, of which it reads at
// most maxDumpBytes.
func (c OperatorClient) get(ctx context.Context, timeout time.Duration, addr, page string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+page, nil)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "ctl.operator: %s", addr)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, reachError(addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxDumpBytes))
	if err != nil {
		return 0, nil, reachError(addr, err)
	}
	return resp.StatusCode, body, nil
}

// dump reads the state of a process, keyed by duty.
func (c OperatorClient) dump(ctx context.Context, timeout time.Duration, addr string) (map[string]json.RawMessage, error) {
	status, body, err := c.get(ctx, timeout, addr, "/dump")
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, eris.Errorf("%s: /dump returned status %d: not an operators' listener of burdockplank", addr, status)
	}
	duties := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &duties); err != nil {
		return nil, eris.Errorf("%s: /dump returned no JSON object: not an operators' listener of burdockplank", addr)
	}
	return duties, nil
}

// reachError returns an error that explains why addr gave no answer.
func reachError(addr string, err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, context.Canceled):
		return eris.Errorf("%s: given up", addr)
	case errors.Is(err, syscall.ECONNREFUSED):
		return eris.Errorf("%s: connection refused: nothing listens there; is the process down, or the address another?", addr)
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return eris.Errorf("%s: no route: is the availability zone cut off?", addr)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return eris.Errorf("%s: connection closed before the answer: did the process end?", addr)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded),
		errors.As(err, &timeout) && timeout.Timeout():
		return eris.Errorf("%s: no answer in time: is the VM frozen or cut off?", addr)
	}
	return eris.Wrap(err, addr)
}

// neverSent reports whether the error occurred before any byte of the request was written.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
