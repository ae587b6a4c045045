package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// mostRetries is the bound of the rule: a request that crashes servers reaches them in no more retries than
// that, sent by machines in touch later than contact after it has crashed the third.
const mostRetries = 3

// load sends ordinary requests from each region until stop is closed, and counts the answers.
type load struct {
	served, other atomic.Int64
	stop          chan struct{}
	done          sync.WaitGroup
}

func (l *lab) startLoad(paths []string, object string, every time.Duration) *load {
	out := &load{stop: make(chan struct{})}
	for i, zone := range zones {
		c := &caller{lab: l, name: "load-" + zone[0], ip: "127.40." + string(rune('1'+i)) + ".1", zone: zone[0], region: zone[1]}
		out.done.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-out.stop:
					return
				case <-time.After(every):
				}
				if addrs := c.addresses(); len(addrs) > 0 {
					res := c.send(addrs[rand.IntN(len(addrs))], http.MethodGet, paths[n%len(paths)], object, "", 3*time.Second)
					if res.status == http.StatusOK && res.stamped {
						out.served.Add(1)
						continue
					}
				}
				out.other.Add(1)
			}
		})
	}
	return out
}

func (o *load) end(l *lab) {
	close(o.stop)
	o.done.Wait()
	l.note("ordinary requests: %d served, %d not", o.served.Load(), o.other.Load())
}

// visitor is the caller whose request crashes the servers that run it.
type visitor struct {
	lab     *lab
	path    string
	object  string
	header  map[string]string
	touched map[string]bool
	retries int
}

// visit sends the request once to a host that the directory names, and once more if it was not served, on a new connection
// and as the answer says.
func (v *visitor) visit(region int) {
	zone := zones[region]
	c := &caller{lab: v.lab, name: "visitor", ip: "127.50.0.1", zone: zone[0], region: zone[1], header: v.header}
	addrs := c.addresses()
	if len(addrs) == 0 {
		v.lab.note("visitor: no directory answers")
		return
	}
	first := rand.IntN(len(addrs))
	for try := range 1 + v.retries {
		res := c.send(addrs[(first+try)%len(addrs)], http.MethodGet, v.path, v.object, "", 3*time.Second)
		v.touched[res.id] = res.inTouch
		if res.status == http.StatusOK {
			return
		}
		if res.status == http.StatusServiceUnavailable && try < v.retries {
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// third returns when the request has crashed the third server; the zero time if it has not.
func (l *lab) third() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashed) < 3 {
		return time.Time{}
	}
	return l.crashed[2].at
}

// judge counts the retries that the rule bounds.
func (v *visitor) judge() int {
	l, third := v.lab, v.lab.third()
	l.mu.Lock()
	crashed := slices.Clone(l.crashed)
	l.mu.Unlock()
	if third.IsZero() {
		l.note("the request has not crashed three servers")
		return notRun
	}
	late := 0
	for _, run := range crashed {
		if run.at.After(third.Add(contact)) && v.touched[run.request] {
			late++
			l.note("counted: %s reached %s %.1f s after the third crash", run.request, run.server, run.at.Sub(third).Seconds())
		}
	}
	l.note("BUDGET: %d servers crashed in all; %d retries sent by machines in touch later than %v after the third crash; at most %d", len(crashed), late, contact, mostRetries)
	if late > mostRetries {
		return broken
	}
	return held
}

// forgottenCrashes lets a request crash three servers, waits, stops and starts all hosts in turn, and
// lets the request come again.
func forgottenCrashes(program, record string, trouble bool) int {
	l := newLab(program, record, trouble, 7, 20)
	l.poison = func(r *http.Request, _ []byte) bool { return r.URL.Path == "/leit/77" }
	ordinary := l.startLoad([]string{"/leit/1", "/leit/2", "/leit/3"}, "17", 200*time.Millisecond)
	v := &visitor{lab: l, path: "/leit/77", touched: make(map[string]bool), retries: 1}
	time.Sleep(contact + time.Second)
	for i := 0; i < 8 && l.third().IsZero(); i++ {
		v.visit(i % len(zones))
		time.Sleep(time.Second)
	}
	for i := range 6 { // it comes again meanwhile, and is refused
		time.Sleep(4 * time.Second)
		v.visit(i % len(zones))
	}
	l.note("the hosts are stopped and started in turn: %v", trouble)
	for _, h := range l.hosts {
		if !trouble {
			time.Sleep(3 * time.Second)
			continue
		}
		l.signal(h, sigterm)
		<-h.ended
		l.start(h)
		l.awaitReady(h)
	}
	time.Sleep(contact + time.Second)
	v.retries = 0
	for i := range 2 * len(zones) {
		v.visit(i % len(zones))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	ordinary.end(l)
	l.end(v.judge())
	return notRun
}
