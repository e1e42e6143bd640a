package auth

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// callers implements Callers by a map from the digests of tokens.
type callers map[bundle.Digest]*bundle.Caller

func (c callers) CallerByToken(d bundle.Digest) *bundle.Caller { return c[d] }

func TestAuthenticate(t *testing.T) {
	desk := &bundle.Caller{Name: "desk"}
	known := callers{sha256.Sum256([]byte("s3cret")): desk}
	tests := map[string]struct {
		header []string
		ok     bool
	}{
		"token":             {[]string{"Bearer s3cret"}, true},
		"case of scheme":    {[]string{"bearer s3cret"}, true},
		"missing":           {nil, false},
		"wrong":             {[]string{"Bearer s3cretx"}, false},
		"empty":             {[]string{"Bearer "}, false},
		"no scheme":         {[]string{"s3cret"}, false},
		"other scheme":      {[]string{"Basic s3cret"}, false},
		"two headers":       {[]string{"Bearer s3cret", "Bearer s3cret"}, false},
		"too long to hash":  {[]string{"Bearer " + strings.Repeat("x", maxTokenBytes+1)}, false},
		"the digest itself": {[]string{"Bearer " + bundle.Digest(sha256.Sum256([]byte("s3cret"))).String()}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := Authenticate(known, http.Header{"Authorization": test.header})
			if test.ok {
				is.Equal(c, desk)
				return
			}
			is.Equal(c, nil)
			is.Equal(err.Reason, pb.Reason_REASON_UNAUTHENTICATED)
			is.Equal(err.Message, unauthenticatedError().Message) // the same message for all, with nothing of the request
		})
	}
}
