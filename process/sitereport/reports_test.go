package sitereport_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalknot/process/sitereport"
)

func fixedNow() time.Time { return time.Unix(1000, 0) }

// TestReportsConverge merges the same reports in different orders and then synchronises by
// digest and delta. Both sides must converge, and merging the reports again must change
// nothing.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var all []sitereport.Report
		for range 60 {
			all = append(all, sitereport.Report{Site: sitereport.ID(rnd.IntN(9)), Reporter: sitereport.ID(rnd.IntN(5)), Stamp: uint64(rnd.IntN(1e9)), Own: uint8(rnd.Uint32()), AgeMS: rnd.Uint32N(1000)})
		}
		a, b := sitereport.New(fixedNow), sitereport.New(fixedNow)
		merge(t, a, all)
		rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		merge(t, b, all[:rnd.IntN(len(all))])
		for range 20 {
			if delta := a.Delta(b.Digest(), 300); delta != nil {
				if _, err := b.Merge(delta); err != nil {
					t.Fatal(err)
				}
			}
		}
		if a.Sum() != b.Sum() || !reflect.DeepEqual(a.Digest(), b.Digest()) {
			t.Fatalf("the sums %x and %x differ after all deltas", a.Sum(), b.Sum())
		}
		if changed, err := a.Merge(sitereport.Encode(all)); changed || err != nil {
			t.Fatalf("merging the same reports again: changed %v, %v", changed, err)
		}
	})
}

func merge(t *rapid.T, r *sitereport.Reports, reports []sitereport.Report) {
	for _, one := range reports {
		if _, err := r.Merge(sitereport.Encode([]sitereport.Report{one})); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAgeAccumulatesAcrossHosts passes a report through three hosts that hold it for a
// minute each: its age must add up, and it must be removed after reportTTL.
func TestAgeAccumulatesAcrossHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	delta := sitereport.Encode([]sitereport.Report{{Site: sitereport.IDOf("s"), Reporter: 1, Stamp: 1, Own: 5}})
	for range 3 {
		r := sitereport.New(clock)
		if changed, err := r.Merge(delta); !changed || err != nil {
			t.Fatal(changed, err)
		}
		now = now.Add(time.Minute)
		delta = r.Delta(sitereport.New(clock).Digest(), 1000)
		if got := r.About("s"); len(got) != 1 {
			t.Fatal(got)
		}
	}
	last := sitereport.New(clock)
	_, _ = last.Merge(delta)
	if got := last.About("s")[0].AgeMS; got != 180_000 {
		t.Errorf("age %d ms, want 180000", got)
	}
	now = now.Add(time.Hour)
	if last.Digest(); last.Sum() != 0 || len(last.About("s")) != 0 {
		t.Error("an expired report was not removed")
	}
	if _, err := last.Merge([]byte("x")); err == nil {
		t.Error("a malformed delta was accepted")
	}
}

// TestAggregateIsConservative aggregates reports that are wrong, outdated, missing or from
// hosts that do not watch the site. None of them may draw additional callers to it.
func TestAggregateIsConservative(t *testing.T) {
	watchers := []string{"a", "b", "c"}
	report := func(name string, own, other uint8, age time.Duration) sitereport.Report {
		return sitereport.Report{Reporter: sitereport.IDOf(name), Own: own, Other: other, AgeMS: uint32(age.Milliseconds())}
	}
	const full, old = sitereport.Full, sitereport.MaxReportAge + time.Second
	for name, tc := range map[string]struct {
		reports []sitereport.Report
		want    sitereport.Level
	}{
		"none":                      {nil, sitereport.Level{Own: full}},
		"one draws no others":       {[]sitereport.Report{report("a", full, full, 0)}, sitereport.Level{Own: full}},
		"one falsely reports empty": {[]sitereport.Report{report("a", full, full, 0), report("b", 64, 0, 0), report("c", 64, 0, 0)}, sitereport.Level{Own: 64}},
		"one falsely reports down":  {[]sitereport.Report{report("a", 0, 0, 0), report("b", full, 128, 0), report("c", full, 192, 0)}, sitereport.Level{Own: full, Other: 128}},
		"two disagree":              {[]sitereport.Report{report("a", 0, 0, 0), report("b", full, full, 0)}, sitereport.Level{Own: full}},
		"outdated are ignored":      {[]sitereport.Report{report("a", full, full, old), report("b", 0, 0, 0), report("c", full, full, old)}, sitereport.Level{}},
		"non-watchers are ignored":  {[]sitereport.Report{report("x", 0, full, 0), report("y", 0, full, 0), report("z", 0, full, 0)}, sitereport.Level{Own: full}},
		"all report down":           {[]sitereport.Report{report("a", 0, 0, 0), report("b", 0, 0, 0), report("c", 0, 0, 0)}, sitereport.Level{}},
	} {
		if got := sitereport.Aggregate(tc.reports, watchers); got != tc.want {
			t.Errorf("%s: got %+v, want %+v", name, got, tc.want)
		}
	}
}

// TestRecoveringSiteRisesStepByStep takes a site down and up again and replaces its
// watching host in between. The level must rise step by step, also after the
// replacement, so that the recovering site is not overloaded.
func TestRecoveringSiteRisesStepByStep(t *testing.T) {
	var r sitereport.Reporter
	now := fixedNow()
	up, down := sitereport.Measurement{Up: 4, Total: 4, FreeShare: 1}, sitereport.Measurement{Up: 1, Total: 4, FreeShare: 1}
	if l, _ := r.Observe(up, now); l.Own != sitereport.Full {
		t.Fatalf("a new site starts at %+v, want Own = Full", l)
	}
	if l, publish := r.Observe(down, now.Add(time.Second)); l.Own != sitereport.Full || publish {
		t.Fatalf("after one failed round the site is at %+v, published %v", l, publish)
	}
	r.Observe(up, now.Add(2*time.Second))
	r.Observe(down, now.Add(3*time.Second))
	if l, publish := r.Observe(down, now.Add(4*time.Second)); l != (sitereport.Level{}) || !publish {
		t.Fatalf("after two failed rounds the site is at %+v, published %v", l, publish)
	}
	now = now.Add(4 * time.Second)
	published, last := 0, sitereport.Level{}
	for second := range 100 {
		now = now.Add(time.Second)
		if second == 50 {
			var other sitereport.Reporter
			other.Resume(last, now)
			r = other
		}
		l, publish := r.Observe(up, now)
		if int(l.Own) > int(last.Own)+64 {
			t.Fatalf("the level rose from %[2]d to %[1]d in one step", l.Own, last.Own)
		}
		if l.Own == sitereport.Full && second < 60 {
			t.Fatalf("the level was Full after %d s already", second)
		}
		if publish {
			published++
		}
		last = l
	}
	if last.Own != sitereport.Full || published > 6 {
		t.Errorf("after 100 s at %+v with %d reports published, want full with at most 6", last, published)
	}
}

// TestWatchersAreInDifferentDomains checks that a site is watched by one host of its failure
// domain, one of another failure domain of its region and one of another region; that where a
// scope has no host another one takes its place; that the hosts of a list in another order
// choose the same; and that a host that does not watch a site can leave without a change.
func TestWatchersAreInDifferentDomains(t *testing.T) {
	const domainsPerRegion = 2
	rapid.Check(t, func(t *rapid.T) {
		var hosts []sitereport.Host
		for i := range rapid.IntRange(0, 60).Draw(t, "hosts") {
			region := rapid.IntRange(0, 3).Draw(t, "region")
			domain := fmt.Sprint("r", region, "d", rapid.IntRange(1, domainsPerRegion).Draw(t, "domain"))
			hosts = append(hosts, sitereport.Host{Name: fmt.Sprint("h", i), Region: fmt.Sprint("r", region), FailureDomain: domain})
		}
		site := sitereport.Site{Region: "r0", FailureDomain: "r0d1"}
		watchers := sitereport.WatchersOf(site, hosts)
		checkWatchers(t, site, hosts, watchers)
		shuffled := rapid.Permutation(hosts).Draw(t, "shuffled")
		if got := sitereport.WatchersOf(site, shuffled); !slices.Equal(got, watchers) {
			t.Errorf("watchers %v, and %v with the hosts in another order", watchers, got)
		}
		for i, h := range hosts {
			others := slices.Delete(slices.Clone(hosts), i, i+1)
			if got := sitereport.WatchersOf(site, others); !slices.Contains(watchers, h.Name) && !slices.Equal(got, watchers) {
				t.Errorf("watchers %v, and %v without %s, which does not watch", watchers, got, h.Name)
			}
		}
	})
}

// checkWatchers checks the number of the watchers and the scope of each.
func checkWatchers(t *rapid.T, site sitereport.Site, hosts []sitereport.Host, watchers []string) {
	byName := make(map[string]sitereport.Host)
	for _, h := range hosts {
		byName[h.Name] = h
	}
	if want := min(sitereport.WatcherCount, len(hosts)); len(watchers) != want || len(slices.Compact(slices.Sorted(slices.Values(watchers)))) != want {
		t.Fatalf("%d hosts: watchers %v, want %d different ones", len(hosts), watchers, want)
	}
	scopes := []func(h sitereport.Host) bool{
		func(h sitereport.Host) bool { return h.FailureDomain == site.FailureDomain },
		func(h sitereport.Host) bool { return h.Region == site.Region && h.FailureDomain != site.FailureDomain },
		func(h sitereport.Host) bool { return h.Region != site.Region },
	}
	for i, inScope := range scopes {
		covered := slices.ContainsFunc(watchers, func(name string) bool { return inScope(byName[name]) })
		if slices.ContainsFunc(hosts, inScope) && !covered {
			t.Errorf("watchers %v of %v: none in scope %d", watchers, site, i)
		}
	}
}

// TestWatchesAreSpread: with ten regions of ten failure domains, no host may watch a tenth of
// the sites.
func TestWatchesAreSpread(t *testing.T) {
	const regions, domains, hostsPerDomain = 10, 10, 3
	var hosts []sitereport.Host
	var sites []sitereport.Site
	for r := range regions {
		for d := range domains {
			site := sitereport.Site{Region: fmt.Sprint("r", r), FailureDomain: fmt.Sprint("r", r, "d", d)}
			sites = append(sites, site)
			for h := range hostsPerDomain {
				hosts = append(hosts, sitereport.Host{Name: fmt.Sprint(site.FailureDomain, "h", h), Region: site.Region, FailureDomain: site.FailureDomain})
			}
		}
	}
	counts := make(map[string]int)
	for _, site := range sites {
		for _, name := range sitereport.WatchersOf(site, hosts) {
			counts[name]++
		}
	}
	for name, n := range counts {
		if n >= len(sites)/10 {
			t.Errorf("%s watches %d of %d sites", name, n, len(sites))
		}
	}
}

// targets is a transport that responds for each address with a JSON load, and refuses
// connections to unknown addresses.
type targets map[string]string

func (t targets) RoundTrip(r *http.Request) (*http.Response, error) {
	body, ok := t[r.URL.Host]
	if !ok {
		return nil, errors.New("refused")
	}
	return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
}

// TestOneWrongLoadDoesNotRaiseFreeShare lets one busy target claim to be empty. The median
// must not report free slots because of it.
func TestOneWrongLoadDoesNotRaiseFreeShare(t *testing.T) {
	site := targets{"a": `{"in_flight":0}`, "b": `{"in_flight":10}`, "c": `{"in_flight":9}`, "d": `broken`, "f": `{"in_flight":-50}`}
	var list []sitereport.Target
	for _, addr := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, sitereport.Target{Addr: addr, HealthPath: "/health", LoadPath: "/load", Slots: 10})
	}
	if m := sitereport.Probe(context.Background(), site, list); m.Up != 4 || m.Total != 5 || m.FreeShare != 0 {
		t.Errorf("got %+v, want 4 of 5 up and no free slots", m)
	}
}
