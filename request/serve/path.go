package serve

import (
	"net/http"
	"net/url"
	"strings"
)

// pathAndQuery returns the path and the query of a request as the caller has sent them, with
// the question mark. It returns "" if the request names none, as CONNECT does.
func pathAndQuery(r *http.Request) string {
	if r.URL.Host == "" {
		return r.RequestURI
	}
	_, rest, found := strings.Cut(r.RequestURI, "://") // the absolute form, with a host
	if !found {
		return ""
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	default:
		return rest[start:]
	}
}

// pathOf returns the path of a request as the caller has sent it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(pathAndQuery(r), "?")
	return path
}

// targetURL returns a URL that net/http writes as the given path and query. An opaque URL is
// written as it is, but after a scheme if it begins with two slashes.
func targetURL(pathAndQuery string) *url.URL {
	if !strings.HasPrefix(pathAndQuery, "//") {
		return &url.URL{Opaque: pathAndQuery}
	}
	raw, query, hasQuery := strings.Cut(pathAndQuery, "?")
	path, _ := url.PathUnescape(raw) // the server has parsed it before
	return &url.URL{Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery}
}
