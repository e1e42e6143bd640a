package bundle

import (
	"fmt"
	"strings"
)

// ParseError says why a bundle's text is refused.
type ParseError struct {
	// Line counts from 1; 0 where no line is to blame.
	Line int
	// Key is the dotted path, with indices from 0 into arrays of tables.
	Key    string
	Reason string
	// Unworkable is true where the text could be read but the bundle could not work.
	Unworkable bool
}

// Error implements error in one line.
func (e *ParseError) Error() string {
	var b strings.Builder
	b.WriteString("bundle")
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, ": %s", e.Key)
	}
	fmt.Fprintf(&b, ": %s", e.Reason)
	return b.String()
}

// RefusalReason is why a bundle was not applied. It is a metric label.
type RefusalReason string

// The reasons for not applying a bundle.
const (
	// RefusedManifest is a manifest that can't be decoded or used.
	RefusedManifest RefusalReason = "manifest"
	// RefusedSignatures is a manifest with too few good signatures.
	RefusedSignatures RefusalReason = "signatures"
	// RefusedSections is a text that the manifest doesn't name.
	RefusedSections RefusalReason = "sections"
	// RefusedSyntax is a text that can't be parsed.
	RefusedSyntax RefusalReason = "syntax"
	// RefusedUnworkable is a text that parses but can't work.
	RefusedUnworkable RefusalReason = "unworkable"
	// RefusedOlder is a bundle of a lower version than one that was applied.
	RefusedOlder RefusalReason = "older"
	// RefusedRace is the bundle with the lower digest of two that have one version.
	RefusedRace RefusalReason = "race_lost"
)

// RefusedError says why a bundle was not applied; the bundle in force stays.
type RefusedError struct {
	Reason RefusalReason
	// Version and Digest of the refused bundle; zero where its manifest couldn't be read.
	Version uint64
	Digest  Digest
	cause   error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("bundle version %d refused (%s): %v", e.Version, e.Reason, e.cause)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.cause }

func refuse(reason RefusalReason, format string, args ...any) *RefusedError {
	return &RefusedError{Reason: reason, cause: fmt.Errorf(format, args...)}
}
