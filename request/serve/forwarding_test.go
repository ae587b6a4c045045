package serve_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"quetzalknot/version/routes"
)

// TestPathIsForwardedUnchanged: a target must get the path and the query byte for byte as the
// caller has sent them, and the route must be selected by the same bytes.
func TestPathIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t)
	f.apply(func(c *routes.Config) {
		root := *c.Routes[0]
		root.Name, root.Prefix = "root", "/"
		c.Routes = append(c.Routes, &root)
	})
	f.addHandler("i-1", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Host+" "+r.RequestURI) })
	for sent, want := range map[string]string{
		"/": "", "/search/1": "", "/search": "", "/search/?": "", "/search/?a=b?c": "", "/search/?a=%zz&b=//x;c": "",
		"//search/1": "", "///": "", "//": "", "//search/1?a=//b": "", "/search//1": "", "/search/../x/./y": "",
		"/search/a%20b%2Fc%3f": "", "/%73earch/": "", "/search/a;b=c,d:e@f$!'()*+&=~": "",
		"/search/a\"b<c>[d]{e}|\\^`\xc3\xa9": "", "/search/a#b": "",
		"http://bokun.example/search/1": "/search/1", "http://bokun.example:80/search/1?a=b": "/search/1?a=b",
		"http://bokun.example": "/", "http://bokun.example?a=/b": "/?a=/b", "http://bokun.example//a//b": "//a//b",
		"HTTP://user@Bokun.Example/?http://x/y": "/?http://x/y",
	} {
		if want == "" {
			want = sent
		}
		got := f.exchange(head("GET", sent))
		if _, path, _ := strings.Cut(got.body, " "); got.status != http.StatusOK || path != want {
			t.Errorf("%q: status %d, %v, the target got %q, want %q", sent, got.status, got.err, got.body, want)
		}
	}
}
