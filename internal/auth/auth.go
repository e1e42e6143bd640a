// Package auth finds the caller that a request's bearer token belongs to. The bundle holds only the
// SHA-256 of each token, so a dump or a bundle gives no token away.
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
	// scheme is compared without regard to case, as RFC 9110 wants.
	scheme = "bearer"
	// maxTokenBytes bounds what is hashed for a stranger.
	maxTokenBytes = 512
)

// Callers finds a caller by the SHA-256 of its token; *bundle.Bundle implements it.
type Callers interface {
	CallerByToken(tokenSHA256 bundle.Digest) *bundle.Caller
}

// Authenticate returns the caller named by the header "Authorization: Bearer TOKEN". The error says
// the same for a missing and for a wrong token, and repeats nothing of the request.
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

// bearerToken returns the token of the one Authorization header; two of them are ambiguous.
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
