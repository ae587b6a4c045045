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
	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/verdict"
)

// waitTimeout is how long a test waits for a condition before it fails.
const waitTimeout = 30 * time.Second

// startCluster starts a cluster with one region, no network latency and one service.
func startCluster(t *testing.T, hosts, targets int) *cluster.Cluster {
	t.Helper()
	d := cluster.Deployment{
		Name: "small", StoreRegion: "sudvestur", Hosts: hosts,
		Regions:  []cluster.Region{{Name: "sudvestur", FailureDomains: []string{"sv-hofn", "sv-hraun"}, Block: "198.18.0.0/24"}},
		Services: []cluster.Service{{Name: "bokun", Targets: targets, Slots: 6}},
		Adjust: func(s *settings.Settings) {
			s.Stop.LookupWaitMS = 6000
			s.Limits.StallMS = 2000
		},
	}
	c, err := cluster.Start(t.Context(), d, "two-choices", io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	waitForMembers(t, c, hosts)
	return c
}

// waitForMembers waits until every host lists all hosts as members.
func waitForMembers(t *testing.T, c *cluster.Cluster, hosts int) {
	t.Helper()
	for _, h := range c.Hosts() {
		waitUntil(t, h.Name+" lists all hosts as members", func() bool {
			return len(h.Process.Status().Members) == hosts
		})
	}
}

func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timeout waiting until %s", condition)
}

// response is the result of one request as its caller saw it.
type response struct {
	status  int
	verdict verdict.Verdict
	body    string
	err     error
}

func (r response) String() string {
	return fmt.Sprintf("%d %v %q %v", r.status, r.verdict, r.body, r.err)
}

// testRequest is a request to the service bokun; header holds alternating names and
// values.
type testRequest struct {
	method string
	key    string
	body   string
	header []string
}

func (r testRequest) send(ctx context.Context, h cluster.Host) response {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+h.Process.Addrs().Forward+"/shifts", strings.NewReader(r.body))
	if err != nil {
		return response{err: err}
	}
	req.Host = "bokun"
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	for i := 0; i+1 < len(r.header); i += 2 {
		req.Header.Set(r.header[i], r.header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, verdict: verdict.Parse(resp.Header.Get(verdict.Header)), body: string(body), err: err}
}

// keyRuns returns how often the targets started requests with the idempotency key.
func keyRuns(c *cluster.Cluster, key string) int {
	n := 0
	for _, s := range c.Targets["bokun"] {
		n += s.Record().KeyRuns[key]
	}
	return n
}

func inFlightCount(c *cluster.Cluster) int {
	n := 0
	for _, s := range c.Targets["bokun"] {
		n += s.InFlight()
	}
	return n
}

// keyPrefixOf returns an idempotency key prefix that look-ups at the asked host return
// for the owner host. It varies the caller until a look-up names that host.
func keyPrefixOf(t *testing.T, asked, owner cluster.Host) string {
	t.Helper()
	var rest string
	caller := 0
	waitUntil(t, "a look-up returns a key prefix of "+owner.Name, func() (found bool) {
		caller++
		lookup, _ := getText(fmt.Sprintf("http://%s/v1/lookup?service=bokun&client=198.18.0.1&caller=%d", asked.Process.Addrs().API, caller), nil)
		_, rest, found = strings.Cut(lookup, `"key_prefix":"`+owner.Name+"~")
		return found
	})
	prefix, _, _ := strings.Cut(rest, `"`)
	return owner.Name + "~" + prefix
}

func crashCount(c *cluster.Cluster) int {
	n := 0
	for _, s := range c.Targets["bokun"] {
		n += s.Record().Crashes
	}
	return n
}

var slowRun = []string{targetd.HeaderRun, "400"}
