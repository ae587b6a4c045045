package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const validSettings = `[host]
name = "h1"
region = "nordur"
failure_domain = "no-gler"
[listen]
api = "127.0.0.1:8081"
forward = "127.0.0.1:8080"
peer = "127.0.0.1:8082"
[[topology.region]]
name = "nordur"
failure_domains = ["no-gler", "no-eyri"]
[[topology.region]]
name = "austur"
failure_domains = ["au-fjord"]
`

func TestParseReportsEveryProblemWithItsLine(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown key", `name = "h1"`, "name = \"h1\"\ncolour = \"red\"", `f.toml:3: host.colour = "\"red\"": no such key`},
		{"wrong type", `name = "h1"`, `name = 7`, `f.toml:2: host.name = "7"`},
		{"not well formed", `name = "h1"`, `name = `, `f.toml:2`},
		{"bad address", `"127.0.0.1:8081"`, `"localhost:8081"`, `f.toml:6: listen.api = "localhost:8081": an IP address and port`},
		{"one address twice", `"127.0.0.1:8082"`, `"127.0.0.1:8080"`, `f.toml:8: listen.peer = "127.0.0.1:8080": an address other than`},
		{"unknown region", `region = "nordur"`, `region = "vestur"`, `f.toml:3: host.region = "vestur": one of nordur, austur`},
		{"unknown failure domain", `"no-gler"` + "\n[listen]", `"au-fjord"` + "\n[listen]", `f.toml:4: host.failure_domain = "au-fjord": one of no-gler, no-eyri`},
		{"conflicting roles", "[listen]", "[roles]\nforward = true\n[listen]", `f.toml:6: roles.forward = "true": false, or watch = true`},
		{"missing name", `name = "h1"`, ``, `f.toml:1: host.name = ""`},
		{"second region without domains", `["au-fjord"]`, `[]`, `f.toml:14: topology.region[1].failure_domains`},
		{"host name in URL", "[listen]", "[platform]\nurl = \"http://store:7000\"\n[listen]", `f.toml:6: platform.url = "http://store:7000": http:// with an IP address`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(validSettings, tc.old, tc.new, 1)
			if text == validSettings {
				t.Fatal("the replacement changed nothing")
			}
			s, err := Parse("f.toml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want %s", err, tc.want)
			}
			var invalid *Error
			if s != nil || !errors.As(err, &invalid) {
				t.Fatalf("got settings %v and error of type %T", s, err)
			}
		})
	}
}

func TestParseAcceptsValidSettings(t *testing.T) {
	s, err := Parse("f.toml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if !s.Roles.Lookup || !s.Roles.Forward || !s.Roles.Watch {
		t.Fatalf("roles = %+v, want all on by default", s.Roles)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[[topology.region]]\nname = 1"))
	f.Add([]byte("a.b.c = [1, {x = 2}]\n[a]\n[[a.b]]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f.toml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("got settings %v and error %v", s, err)
		}
	})
}
