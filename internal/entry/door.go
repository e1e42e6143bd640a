package entry

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strconv"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/auth"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/membudget"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const checkRequestStep = "entry.door"

// HeaderTimeout is the request header with the caller's timeout in milliseconds.
const HeaderTimeout = "Connect-Timeout-Ms"

// maxTimeoutDigits bounds the header's length, so that no number overflows.
const maxTimeoutDigits = 10

// trackRequest is the outermost middleware. It assigns the request id and counts how the request
// ended.
func (m *Manager) trackRequest(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	c := &call{
		id: newRequestID(m.settings.VM.ID), start: m.now(), view: m.source.Current(),
		service: unknownLabel, kind: unknownLabel,
	}
	c.memory = m.newRequestMemory(w)
	defer c.memory.release()
	m.conns.markHandled(r.Context())
	w.Header().Set(HeaderRequestID, c.id)
	m.drainer.markConnection(w)
	m.metrics.inFlight.Inc()
	defer func() {
		m.metrics.inFlight.Dec()
		m.metrics.observe(c, m.now().Sub(c.start))
	}()
	next(w, withCall(r, c))
}

// filterRequest refuses invalid requests before the library reads them: a wrong content type, an
// unknown caller, an invalid deadline, a body that is too large or ends early.
func (m *Manager) filterRequest(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	c := callOf(r.Context())
	if e := m.checkRequest(w, r, c); e != nil {
		writeError(w, r, e)
		discard(w, r)
		return
	}
	tw := &typedWriter{ResponseWriter: w, call: c}
	next(tw, r)
	tw.finish(r)
}

const (
	// maxDiscardBytes and maxDiscardTime bound what is read of a refused request's body.
	maxDiscardBytes = 1 << 20
	maxDiscardTime  = time.Second
)

// discard sends the refusal and keeps reading for a while. A connection that is closed with unread
// bytes is reset, and a caller that is still writing would see the reset instead of the refusal.
// HTTP/2 can end a stream early without this. The deadline is set first and stays where the body has not
// ended: the server reads on by itself, before it sends the refusal and to use the connection again, and
// would wait for the rest without a limit.
func discard(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor > 1 || r.ContentLength == 0 {
		return
	}
	rc := http.NewResponseController(w)
	if rc.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil || rc.Flush() != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardBytes); errors.Is(err, io.EOF) {
		_ = rc.SetReadDeadline(time.Time{})
	}
}

// checkRequest returns the reason to refuse the request, or nil.
func (m *Manager) checkRequest(w http.ResponseWriter, r *http.Request, c *call) *outcome.Error {
	if !c.memory.holder.Grow(requestBytes) {
		return m.refuseForMemory()
	}
	if e := m.checkAccepting(c); e != nil {
		return e
	}
	caller, e := auth.Authenticate(c.view.Bundle, r.Header)
	if e != nil {
		return e
	}
	c.caller = caller
	if r.Method != http.MethodPost {
		return nil
	}
	if e := checkContentType(r.Header); e != nil {
		return e
	}
	if e := checkTimeout(r.Header, c.view.Bundle.Limits.MaxTimeout); e != nil {
		return e
	}
	return m.readBody(w, r, c.view.Bundle.Limits)
}

// checkContentType refuses protocols other than Connect's unary one, whose errors would not be
// typed.
func checkContentType(h http.Header) *outcome.Error {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err == nil && (t == "application/json" || t == "application/proto") {
		return nil
	}
	return outcome.NotRun(pb.Reason_REASON_INVALID_REQUEST, checkRequestStep, "%s", statusMessages[http.StatusUnsupportedMediaType])
}

// checkTimeout refuses a timeout that is not a number, not above 0, or longer than the bundle
// allows.
func checkTimeout(h http.Header, maxTimeout time.Duration) *outcome.Error {
	values := h.Values(HeaderTimeout)
	if len(values) == 0 {
		return nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || len(values) > 1 || len(values[0]) > maxTimeoutDigits {
		return deadlineInvalid("%s must be one whole number of milliseconds", HeaderTimeout)
	}
	if ms == 0 {
		return deadlineInvalid("%s must be above 0", HeaderTimeout)
	}
	if d := time.Duration(ms) * time.Millisecond; d > maxTimeout {
		return deadlineInvalid("the deadline %s is longer than the longest allowed, %s", d, maxTimeout)
	}
	return nil
}

func deadlineInvalid(format string, args ...any) *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_DEADLINE_INVALID, checkRequestStep, format, args...)
}

const (
	// jsonExpansion is the maximum number of bytes that JSON needs for one byte of text, as a \u
	// escape does.
	jsonExpansion = 6
	// bodyOverhead is the room for the other fields in bytes.
	bodyOverhead = 4 << 10
)

// bodyLimit returns the length in bytes of the longest body that can hold a query within the
// bundle's limits.
func bodyLimit(l bundle.Limits, hardCap int) int64 {
	return int64(min(hardCap, jsonExpansion*l.MaxQueryBytes+bodyOverhead))
}

// readBody reads the whole body within size and time limits, so that an incomplete request neither
// blocks anything nor reaches a handler.
func (m *Manager) readBody(w http.ResponseWriter, r *http.Request, l bundle.Limits) *outcome.Error {
	limit := bodyLimit(l, m.settings.Entry.MaxBodyBytes)
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	rc := http.NewResponseController(w)
	// On a connection without support for read deadlines, the caller's own deadline bounds the read.
	_ = rc.SetReadDeadline(time.Now().Add(m.settings.Entry.BodyTimeout.D()))
	body, err := callOf(r.Context()).memory.holder.ReadAll(r.Body, r.ContentLength, limit, 0)
	kept := callOf(r.Context()).memory.holder.Work()
	switch {
	case errors.Is(err, membudget.ErrNoMemory), !kept:
		return m.refuseForMemory()
	case errors.Is(err, membudget.ErrTooLong):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.NotRun(pb.Reason_REASON_INVALID_REQUEST, checkRequestStep, "the body did not arrive within %s", m.settings.Entry.BodyTimeout.D())
	case err != nil:
		return outcome.NotRun(pb.Reason_REASON_INVALID_REQUEST, checkRequestStep, "the body ended early")
	}
	_ = rc.SetReadDeadline(time.Time{})
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

func tooLarge(limit int64) *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_TOO_LARGE, checkRequestStep, "the body is longer than %d bytes", limit)
}
