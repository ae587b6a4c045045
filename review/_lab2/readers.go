package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// configuration is the bound of the case's site, and rounds how often machines are cut off from the store.
	configuration     = 2500 * time.Millisecond
	rounds            = 6
	cutFor, cutPeriod = 5500 * time.Millisecond, 12 * time.Second
	// changeAfter is how long after the cut the desired state changes.
	changeAfter                 = 50 * time.Millisecond
	firstService, secondService = "rota-desk", "paie-vault"
)

// galleries are the hosts of the deployment after machines were added: five in the first region.
var galleries = [][2]string{
	{"mtl-a", "mtl"}, {"mtl-b", "mtl"}, {"qc-a", "qc"}, {"qc-b", "qc"}, {"gat-a", "gat"}, {"gat-b", "gat"},
	{"mtl-a", "mtl"}, {"mtl-b", "mtl"}, {"qc-a", "qc"}, {"qc-b", "qc"}, {"gat-a", "gat"}, {"gat-b", "gat"}, {"mtl-a", "mtl"},
}

// galleryState returns a desired state whose one route goes to one of the services by turns.
func galleryState(version int) string {
	s := firstService
	if version%2 == 0 {
		s = secondService
	}
	text := fmt.Sprintf(`{"version":%d,"resources":[`, version)
	for _, name := range []string{firstService, secondService} {
		text += fmt.Sprintf(`{"resourceKind":"services","metadata":{"name":%q},"specification":{"healthPath":"/health","connectionLimit":390,"coldStart":"3s","coldPerS":50}},`, name)
	}
	return text + fmt.Sprintf(`{"resourceKind":"routes","metadata":{"name":"peek"},"specification":{"host":%q,"prefix":"/safe/","kind":"safe","timeout":"4000ms","fullCredit":"600ms","priority":0,"attempts":2,"service":%q}},`+
		`{"resourceKind":"limits","metadata":{"name":"limits"},"specification":{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`, hostName, s)
}

// readersCut: some machines of a region are partitioned from the store just before the desired state changes; the others
// of the region are judged.
func readersCut(path string, trouble bool) (int, error) {
	places = galleries
	l, err := startWith(path, options{
		hosts: 13, servers: 16, state: galleryState(1), args: []string{"-work", "50ms"},
		serviceOf: func(i int) string { return []string{firstService, secondService}[i%2] },
	})
	running = l
	if err != nil {
		return failed, err
	}
	defer l.stop()
	time.Sleep(8 * time.Second)
	late, asked := 0, 0
	var mu sync.Mutex
	var probes sync.WaitGroup
	stop := make(chan struct{})
	var acked sync.Map // when each version was acknowledged
	acked.Store(1, time.Now())
	version := 1
	cutHosts := map[string]bool{"front-mtl-a-1": true, "front-mtl-b-1": true, "front-mtl-a-2": true}
	for _, h := range l.hosts {
		if h.region == "mtl" && !cutHosts[h.name] {
			probes.Go(func() {
				n, bad := l.probe(h, stop, &acked)
				mu.Lock()
				defer mu.Unlock()
				asked, late = asked+n, late+bad
			})
		}
	}
	for range rounds {
		began := time.Now()
		if trouble {
			for _, h := range l.hosts {
				if cutHosts[h.name] {
					h.link.cut()
					l.record.add("host %s is partitioned from the store", h.name)
				}
			}
		}
		time.Sleep(changeAfter)
		version++
		l.store.PutState(galleryState(version))
		acked.Store(version, time.Now())
		l.record.add("the store acknowledges version %d", version)
		time.Sleep(time.Until(began.Add(cutFor)))
		if trouble {
			for _, h := range l.hosts {
				if cutHosts[h.name] {
					h.link.heal()
					l.record.add("host %s reaches the store again", h.name)
				}
			}
		}
		time.Sleep(time.Until(began.Add(cutPeriod)))
	}
	close(stop)
	probes.Wait()
	l.record.add("%d requests to the machines in touch", asked)
	l.record.add("CONFIG: %d requests sent later than %v after the ack of a version were run by the service of the older one", late, configuration)
	if asked < 100 {
		return failed, fmt.Errorf("only %d requests", asked)
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// probe sends requests to a host and returns how many were answered and how many of those are late by the rule CONFIG.
func (l *lab) probe(h *host, stop chan struct{}, acked *sync.Map) (asked, late int) {
	services := make(map[string]string)
	for _, s := range l.servers {
		services[s.id] = s.service
	}
	c := &client{l: l, failed: make(map[string]time.Time)}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return asked, late
		case <-time.After(60 * time.Millisecond):
		}
		c.addrs, c.askedAt = []string{h.entry}, time.Now()
		t, err := c.attempt("GET", fmt.Sprint("/safe/64/", i), nil, 4*time.Second)
		if err != nil || t.status != 200 || t.err != nil {
			continue
		}
		asked++
		newest, at := 0, time.Time{}
		acked.Range(func(v, when any) bool {
			if v.(int) > newest && t.sent.After(when.(time.Time).Add(configuration)) {
				newest, at = v.(int), when.(time.Time)
			}
			return true
		})
		// A newer version that is acknowledged, but not for that long, allows its own service too.
		pending := false
		acked.Range(func(v, _ any) bool { pending = pending || v.(int) > newest; return true })
		begins := l.eventsOf(t.id, "begins")
		if newest == 0 || pending || len(begins) == 0 {
			continue
		}
		want := []string{secondService, firstService}[newest%2]
		if got := services[begins[0].upstream]; got != want {
			late++
			l.record.add("CONFIG: %s at %s, sent %d ms after the ack of version %d, was run by %s of %s; the version allows only %s", t.id, h.name,
				t.sent.Sub(at).Milliseconds(), newest, begins[0].upstream, got, strings.TrimSpace(want))
		}
	}
}
