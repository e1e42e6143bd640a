package bundle

import (
	"fmt"
	"strings"
)

// ParseError reports why a bundle's text is refused: it is too long, can't be decoded or breaks a rule.
// Store.Apply and Open wrap it in a *RefusedError.
type ParseError struct {
	// Line counts from 1. It is 0 if the error has no line.
	Line int
	// Key is the dotted path of the key, with indices from 0 for arrays of tables.
	Key    string
	Reason string
	// Unworkable is true if the text could be decoded but its values break a rule.
	Unworkable bool
}

// Error formats the error as one line.
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

// RefusalReason classifies why a bundle was not applied. It is the value of a metric label.
type RefusalReason string

// The reasons for not applying a bundle.
const (
	// RefusedManifest is a manifest that can't be decoded, is invalid or has another version than its
	// text.
	RefusedManifest RefusalReason = "manifest"
	// RefusedSignatures is a manifest with too few valid signatures of trusted reviewers, or with too
	// many signatures to check.
	RefusedSignatures RefusalReason = "signatures"
	// RefusedSections is a text whose sections differ from those in the manifest.
	RefusedSections RefusalReason = "sections"
	// RefusedSyntax is a text that is too long or can't be decoded.
	RefusedSyntax RefusalReason = "syntax"
	// RefusedUnworkable is a text that can be decoded but whose values break a rule.
	RefusedUnworkable RefusalReason = "unworkable"
	// RefusedOlder is a bundle of a lower version than the one in force.
	RefusedOlder RefusalReason = "older"
	// RefusedRace is a bundle that lost a race: two bundles were published with the same version, and
	// the other one, with the higher digest, is in force.
	RefusedRace RefusalReason = "race_lost"
)

// RefusedError reports why a bundle was not applied. The bundle in force is unchanged.
type RefusedError struct {
	Reason RefusalReason
	// Version and Digest identify the refused bundle. Digest is always set. Version is 0 if the manifest
	// was not decoded, as when its signatures are refused.
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

// refuse returns an error without Version and Digest. Its callers set Digest, and Version where it is
// known.
func refuse(reason RefusalReason, format string, args ...any) *RefusedError {
	return &RefusedError{Reason: reason, cause: fmt.Errorf(format, args...)}
}
