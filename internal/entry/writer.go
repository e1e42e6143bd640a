package entry

import (
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// errorWriter writes connect errors as JSON.
var errorWriter = connect.NewErrorWriter()

// writeError answers with the typed outcome and records it as the end of the request.
func writeError(w http.ResponseWriter, r *http.Request, e *outcome.Error) {
	c := callOf(r.Context())
	c.recordError(e)
	// A write error means that the caller disconnected, so that there is nobody to report it to.
	_ = errorWriter.Write(w, r, outcome.ToConnect(e, c.id))
}

// maxUntypedErrorBytes bounds what is read of an error that this package did not write.
const maxUntypedErrorBytes = 4 << 10

// typedWriter holds back errors that the library writes itself, such as one for a body that cannot
// be decoded, so that they can be written as typed outcomes. Answers and the handlers' own errors
// pass through.
type typedWriter struct {
	http.ResponseWriter
	call   *call
	status int
	body   []byte
}

// untyped reports whether the response is an error without a typed outcome from a handler.
func (w *typedWriter) untyped() bool { return w.status >= http.StatusBadRequest && !w.call.ended }

// WriteHeader implements http.ResponseWriter.
func (w *typedWriter) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	if !w.untyped() {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *typedWriter) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.untyped() {
		return w.ResponseWriter.Write(b)
	}
	if room := maxUntypedErrorBytes - len(w.body); room > 0 {
		w.body = append(w.body, b[:min(room, len(b))]...)
	}
	return len(b), nil
}

// Unwrap lets http.ResponseController find the connection.
func (w *typedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// finish writes the typed outcome in place of an error that was held back. The status stays.
func (w *typedWriter) finish(r *http.Request) {
	if !w.untyped() {
		return
	}
	w.Header().Del("Content-Length")
	w.Header().Del("Content-Encoding")
	writeError(statusWriter{ResponseWriter: w.ResponseWriter, status: w.status}, r, w.libraryOutcome())
}

// libraryOutcome converts the library's error into a typed outcome.
func (w *typedWriter) libraryOutcome() *outcome.Error {
	var libraryError struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	_ = json.Unmarshal(w.body, &libraryError)
	reason := pb.Reason_REASON_INVALID_REQUEST
	switch {
	case libraryError.Code == connect.CodeResourceExhausted.String() || w.status == http.StatusRequestEntityTooLarge:
		reason = pb.Reason_REASON_TOO_LARGE
	case w.status >= http.StatusInternalServerError && libraryError.Code != connect.CodeUnimplemented.String():
		reason = pb.Reason_REASON_INTERNAL
	case libraryError.Message == "":
		libraryError.Message = statusMessages[w.status]
	}
	return outcome.NotRun(reason, checkRequestStep, "%s", libraryError.Message)
}

// statusMessages are the messages for a bare status written by the library.
var statusMessages = map[int]string{
	http.StatusNotFound:             "no such procedure",
	http.StatusMethodNotAllowed:     "a procedure is called with POST",
	http.StatusUnsupportedMediaType: "the content type must be application/json or application/proto",
}

// statusWriter answers with its own status instead of the one that follows from the code.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w statusWriter) WriteHeader(int) { w.ResponseWriter.WriteHeader(w.status) }
