package operators

import (
	"net/http"
	"strings"

	"indigotack/internal/appconfig"
)

// WithoutPrefix takes a prefix from the paths of requests that have it. Operators'
// calls are left as they are, as a prefix may begin as they do.
func WithoutPrefix(prefix string, handler http.Handler) http.Handler {
	if prefix == "" {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := appconfig.CleanPath(r.URL.Path)
		if rest, has := strings.CutPrefix(path, prefix+"/"); has && !appconfig.IsCall(path) {
			r.URL.Path, r.URL.RawPath = "/"+rest, ""
		}
		handler.ServeHTTP(w, r)
	})
}
