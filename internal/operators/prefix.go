package operators

import (
	"net/http"
	"strings"

	"indigotack/internal/appconfig"
)

// WithoutPrefix takes a prefix from the paths of operators' calls that have it.
// All other paths are left as they are: they may be clients'.
func WithoutPrefix(prefix string, handler http.Handler) http.Handler {
	if prefix == "" {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := appconfig.CleanPath(r.URL.Path)
		if rest, has := strings.CutPrefix(path, prefix); has && appconfig.IsCall(rest) {
			r.URL.Path, r.URL.RawPath = rest, ""
		}
		handler.ServeHTTP(w, r)
	})
}
