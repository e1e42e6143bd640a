package ctl

import (
	"errors"
	"fmt"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// The exit codes of burdockctl.
const (
	// ExitOK means that the request was answered, wholly or partially, or that the command succeeded.
	ExitOK = 0
	// ExitFailure means that a process could not be reached, or a file not read or written.
	ExitFailure = 1
	// ExitUsage means that the command line, a settings file, a bundle or a signature was refused.
	ExitUsage = 2
	// ExitNotRun means that no byte of the request was sent to an upstream.
	ExitNotRun = 3
	// ExitFailed means that a search ran and gave no usable answer.
	ExitFailed = 4
	// ExitUnknown means that an order may have run.
	ExitUnknown = 5
)

// exitError sets the exit code of the program. If err is nil, nothing is printed because the command already
// printed its result.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

// Unwrap returns the underlying error, which may be nil.
func (e *exitError) Unwrap() error { return e.err }

// usageErrorf returns a formatted error with exit code ExitUsage.
func usageErrorf(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// usageError returns err with exit code ExitUsage, or nil if err is nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{ExitUsage, err}
}

// bundleTextError returns the error for an invalid bundle text in file. It has the form of a settings error,
// with the line and the key where they are known.
func bundleTextError(file string, err error) error {
	var pe *bundle.ParseError
	if !errors.As(err, &pe) {
		return usageErrorf("%s: %v", file, err)
	}
	return usageError(&settings.Error{File: file, Line: pe.Line, Key: pe.Key, Reason: pe.Reason})
}

// outcomeExit returns an exitError that prints nothing for the outcome, or nil for an answered request.
func outcomeExit(kind pb.OutcomeKind) error {
	code := ExitFailure
	switch kind {
	case pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE, pb.OutcomeKind_OUTCOME_KIND_ANSWERED_PARTIAL:
		return nil
	case pb.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		code = ExitNotRun
	case pb.OutcomeKind_OUTCOME_KIND_FAILED:
		code = ExitFailed
	case pb.OutcomeKind_OUTCOME_KIND_UNKNOWN:
		code = ExitUnknown
	}
	return &exitError{code: code}
}
