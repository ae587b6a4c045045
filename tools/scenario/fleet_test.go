package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalknot/process/settings"
	"quetzalknot/tools/lab/fleet"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/verdict"
)

// patience bounds how long a test waits for something that must happen.
const patience = 30 * time.Second

// smallFleet runs hosts without latency and one service with targets.
func smallFleet(t *testing.T, hosts, targets int) *fleet.Fleet {
	t.Helper()
	d := fleet.Deployment{
		Name: "small", StoreRegion: "sudvestur", Hosts: hosts,
		Regions:  []fleet.Region{{Name: "sudvestur", FailureDomains: []string{"sv-hofn", "sv-hraun"}, Block: "198.18.0.0/24"}},
		Services: []fleet.Service{{Name: "bokun", Targets: targets, Slots: 6}},
		Adjust: func(s *settings.Settings) {
			s.Stop.LookupWaitMS = 6000
			s.Limits.StallMS = 2000
		},
	}
	f, err := fleet.Start(t.Context(), d, "two-choices", io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	waitMembers(t, f, hosts)
	return f
}

// waitMembers waits until every host knows all of them.
func waitMembers(t *testing.T, f *fleet.Fleet, hosts int) {
	t.Helper()
	for _, h := range f.Hosts() {
		waitUntil(t, h.Name+" knows the others", func() bool {
			return len(h.Node.Status().Members) == hosts
		})
	}
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// reply is what a caller saw.
type reply struct {
	status  int
	verdict verdict.Verdict
	body    string
	err     error
}

func (r reply) String() string {
	return fmt.Sprintf("%d %v %q %v", r.status, r.verdict, r.body, r.err)
}

// call is one request of a test; header holds pairs of names and values.
type call struct {
	method string
	key    string
	body   string
	header []string
}

func (c call) to(ctx context.Context, h fleet.Host) reply {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+h.Node.Addrs().Forward+"/shifts", strings.NewReader(c.body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "bokun"
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	for i := 0; i+1 < len(c.header); i += 2 {
		req.Header.Set(c.header[i], c.header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, verdict: verdict.Parse(resp.Header.Get(verdict.Header)), body: string(body), err: err}
}

// runs returns how often requests with the key were begun at all targets.
func runs(f *fleet.Fleet, key string) int {
	n := 0
	for _, s := range f.Targets["bokun"] {
		n += s.Record().KeyRuns[key]
	}
	return n
}

func inFlight(f *fleet.Fleet) int {
	n := 0
	for _, s := range f.Targets["bokun"] {
		n += s.InFlight()
	}
	return n
}

// prefixOf returns the key prefix of a host, as callers of some address get it.
func prefixOf(t *testing.T, asked, owner fleet.Host) string {
	t.Helper()
	var rest string
	caller := 0
	waitUntil(t, "a look-up gives a prefix of "+owner.Name, func() (found bool) {
		caller++
		answer, _ := get(fmt.Sprintf("http://%s/v1/lookup?service=bokun&client=198.18.0.1&caller=%d", asked.Node.Addrs().API, caller), nil)
		_, rest, found = strings.Cut(answer, `"key_prefix":"`+owner.Name+"~")
		return found
	})
	prefix, _, _ := strings.Cut(rest, `"`)
	return owner.Name + "~" + prefix
}

func crashes(f *fleet.Fleet) int {
	n := 0
	for _, s := range f.Targets["bokun"] {
		n += s.Record().Crashes
	}
	return n
}

var slow = []string{targetd.HeaderRun, "400"}
