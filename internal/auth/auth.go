// Package auth identifies the caller to which a request's bearer token belongs. The bundle holds
// only the SHA-256 digest of each token, so neither a dump nor a bundle reveals a token.
package auth

import (
	"crypto/sha256"
	"net/http"
	"strings"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const (
	step = "entry.auth"
	// scheme is compared case-insensitively, as RFC 9110 requires.
	scheme = "bearer"
	// maxTokenBytes bounds the input that is hashed for an unauthenticated request.
	maxTokenBytes = 512
)

// Callers looks up a caller by the SHA-256 digest of its token. *bundle.Bundle implements it.
type Callers interface {
	CallerByToken(tokenSHA256 bundle.Digest) *bundle.Caller
}

// Authenticate returns the caller whose token is in the header "Authorization: Bearer TOKEN". The
// error is the same for a missing and for a wrong token, and contains nothing of the request.
func Authenticate(callers Callers, h http.Header) (*bundle.Caller, *outcome.Error) {
	token, ok := bearerToken(h)
	if !ok {
		return nil, unauthenticatedError()
	}
	c := callers.CallerByToken(bundle.Digest(sha256.Sum256([]byte(token))))
	if c == nil {
		return nil, unauthenticatedError()
	}
	return c, nil
}

// bearerToken returns the token of the Authorization header. It rejects a request with more than
// one such header as ambiguous.
func bearerToken(h http.Header) (string, bool) {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	gotScheme, token, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(gotScheme, scheme) {
		return "", false
	}
	token = strings.TrimSpace(token)
	return token, token != "" && len(token) <= maxTokenBytes
}

func unauthenticatedError() *outcome.Error {
	return outcome.NotRun(pb.Reason_REASON_UNAUTHENTICATED, step, "a valid bearer token is needed")
}
