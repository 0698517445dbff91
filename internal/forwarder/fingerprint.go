package forwarder

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/sender"
)

// fingerprints are the fingerprints of a request. Requests with an equal fingerprint of either kind
// may crash servers for the same reason.
type fingerprints struct {
	// whole is a hash of the method, host, path, query and body, and path one without the query. They
	// are equal if there is no query. A dock of an older release sends no path.
	whole identifier.Fingerprint
	path  identifier.Fingerprint
}

// newFingerprints returns the fingerprints of a request.
func newFingerprints(r *sender.Request) fingerprints {
	path, _, _ := strings.Cut(r.Target, "?")
	return fingerprints{whole: fingerprint(r, r.Target), path: fingerprint(r, path)}
}

// fingerprint returns a hash of a request's method, host and body and of a target.
func fingerprint(r *sender.Request, target string) identifier.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, target} {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return identifier.Fingerprint(d.Sum64())
}

// list returns the distinct fingerprints.
func (f fingerprints) list() []identifier.Fingerprint {
	if f.path == f.whole || f.path == 0 {
		return []identifier.Fingerprint{f.whole}
	}
	return []identifier.Fingerprint{f.whole, f.path}
}
