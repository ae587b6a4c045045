// Command lab runs the program of the deploy file on loopback addresses with stand-ins of the store, the
// servers and the clients, and plays one case of the review.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

// zones are the failure domains with their regions.
var zones = [][2]string{
	{"sv-hofn", "sudvestur"}, {"no-gler", "nordur"}, {"au-fjord", "austur"},
	{"sv-hraun", "sudvestur"}, {"no-eyri", "nordur"}, {"au-dalur", "austur"},
}

// contact is the bound of that name: a machine without disturbance for so long is in touch.
const contact = 4 * time.Second

// host is an entry host: one process of the project's program.
type host struct {
	name, ip, zone, region string
	settings               string

	mu          sync.Mutex
	process     *exec.Cmd
	ended       chan struct{}
	disturbedAt time.Time
}

// lab is one run of a case.
type lab struct {
	program, folder string
	trouble         bool
	began           time.Time
	store           *store
	hosts           []*host
	upstreams       []*upstream
	port            [5]int
	ids             atomic.Int64

	mu      sync.Mutex
	record  *bufio.Writer
	runs    map[string]int
	crashed []crashRun
	// atWork holds when the run of each request began and ended; a run that goes on has no end.
	atWork map[string][2]time.Time
	// poison tells the requests that crash the server that runs them.
	poison func(*http.Request, []byte) bool
}

// crashRun is a run of a request that crashed its server.
type crashRun struct {
	request, server string
	at              time.Time
}

func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// report writes an entry of a server, or removes it, unless the store is away.
func (l *lab) report(id string, value []byte) {
	l.store.mu.Lock()
	away := l.store.away
	l.store.mu.Unlock()
	if !away {
		l.store.put("servers", id, value)
	}
}

// fail ends a case that could not run.
func (l *lab) fail(format string, args ...any) {
	l.note("could not run: "+format, args...)
	l.end(notRun)
}

// end ends all processes that the case started, and the case.
func (l *lab) end(code int) {
	for _, h := range l.hosts {
		h.mu.Lock()
		if h.process != nil {
			_ = h.process.Process.Kill()
		}
		h.mu.Unlock()
	}
	for _, h := range l.hosts {
		if h.ended != nil {
			<-h.ended
		}
	}
	l.mu.Lock()
	_ = l.record.Flush()
	l.mu.Unlock()
	_ = os.RemoveAll(l.folder)
	os.Exit(code)
}

func (l *lab) crashes(r *http.Request, body []byte) bool { return l.poison != nil && l.poison(r, body) }

// ran records that a server began to run a request.
func (l *lab) ran(request, server string, crashes bool) {
	l.note("server  %s runs %s%s", server, request, map[bool]string{true: " and will crash"}[crashes])
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request]++
	l.atWork[request] = [2]time.Time{time.Now(), {}}
	if crashes {
		l.crashed = append(l.crashed, crashRun{request, server, time.Now()})
	}
}

// runEnded records that the run of a request has ended.
func (l *lab) runEnded(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.atWork[request] = [2]time.Time{l.atWork[request][0], time.Now()}
}

// shortRun is how long a server works on most requests.
const shortRun = 60 * time.Millisecond

// runTime returns how long a server works on a request.
func (l *lab) runTime(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		return d
	}
	return shortRun
}

// freePorts finds five ports that are free on all addresses of the hosts.
func freePorts(ips []string) ([5]int, error) {
	var found [5]int
	n := 0
	for port := 21000 + os.Getpid()%4000; port < 32000 && n < 5; port++ {
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			found[n] = port
			n++
		}
	}
	if n < 5 {
		return found, fmt.Errorf("no free ports")
	}
	return found, nil
}

// newLab starts the store, the servers and the hosts, and waits until all hosts are ready.
func newLab(program, recordPath string, trouble bool, hosts, servers int) *lab {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	l := &lab{program: program, folder: folder, trouble: trouble, began: time.Now(), record: bufio.NewWriter(file), runs: make(map[string]int), atWork: make(map[string][2]time.Time)}
	go l.watch()
	var ips []string
	for i := range hosts {
		ips = append(ips, fmt.Sprintf("127.10.%d.1", i+1))
	}
	if l.port, err = freePorts(ips); err != nil {
		l.fail("%v", err)
	}
	storeAddr := fmt.Sprintf("127.20.0.1:%d", l.port[0])
	if l.store, err = newStore(storeAddr); err != nil {
		l.fail("%v", err)
	}
	l.store.put("op", "config", desiredState())
	for i := range servers {
		u := &upstream{lab: l, number: i, ip: fmt.Sprintf("127.30.%d.1", i+1), service: "bokun", zone: zones[i%len(zones)][0]}
		l.upstreams = append(l.upstreams, u)
		if err := u.start(); err != nil {
			l.fail("%v", err)
		}
	}
	for i := range hosts {
		zone := zones[i%len(zones)]
		h := &host{name: fmt.Sprintf("front-%s-%d", zone[0], i/len(zones)+1), ip: ips[i], zone: zone[0], region: zone[1]}
		h.settings = filepath.Join(folder, h.name+".toml")
		if err := os.WriteFile(h.settings, []byte(l.settings(h, storeAddr, true)), 0o600); err != nil {
			l.fail("%v", err)
		}
		l.hosts = append(l.hosts, h)
		l.start(h)
	}
	for _, h := range l.hosts {
		l.awaitReady(h)
		if err := os.WriteFile(h.settings, []byte(l.settings(h, storeAddr, false)), 0o600); err != nil {
			l.fail("%v", err)
		}
	}
	return l
}

// longestRun is how long a case may run.
const longestRun = 110 * time.Second

// watch ends a case that is interrupted or takes too long.
func (l *lab) watch() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, sigterm)
	select {
	case s := <-stop:
		l.fail("%v", s)
	case <-time.After(longestRun):
		l.fail("it takes too long")
	}
}

// settings fills in what the template of the deploy file gives for a host of the small site.
func (l *lab) settings(h *host, storeAddr string, first bool) string {
	text := fmt.Sprintf("[host]\nname = %q\nregion = %q\nfailure_domain = %q\nip = %q\n", h.name, h.region, h.zone, h.ip)
	if first {
		text += "first_start = true\n"
	}
	text += "link_mbps = 1000.0\ncpu_share = 0.32\ncores = 1\n" +
		fmt.Sprintf("[listen]\nentry = \"%s:%d\"\nready = \"%s:%d\"\ndirectory = \"%s:%d\"\nfirst_peer_port = %d\nlast_peer_port = %d\nmetrics_port = %d\n",
			h.ip, l.port[0], h.ip, l.port[1], h.ip, l.port[2], l.port[3], l.port[3]+15, l.port[4]) +
		fmt.Sprintf("[store]\naddress = %q\n", storeAddr) +
		"[bounds]\ngrace = \"6s\"\nretry_window = \"10s\"\nretry_ratio = 0.2\nretry_extra = 62\nlookup_ttl_max = \"5s\"\n" +
		"change = \"2500ms\"\ncold_overrun = 1.5\ncold_slack = 5\n[regions]\n"
	for _, z := range zones {
		text += fmt.Sprintf("%q = %q\n", z[0], z[1])
	}
	return text
}

func desiredState() []byte {
	route := func(name, prefix, kind, timeout string, priority int) map[string]any {
		specification := map[string]any{
			"host": hostName, "prefix": prefix, "kind": kind, "fullCredit": "2500ms", "priority": priority,
			"service": "bokun", "attempts": 2, "sessionAffinity": true, "homeRegions": []string{}}
		if timeout != "" {
			specification["timeout"] = timeout
		}
		return map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "specification": specification}
	}
	text, _ := json.Marshal(map[string]any{"version": 7, "resources": []any{
		route("r-leit", "/leit/", "safe", "1200ms", 2), route("r-boka", "/boka/", "unsafe", "3s", 1),
		route("r-safn", "/safn/", "safe", "8s", 2), route("r-launa", "/launa/", "upload", "", 1),
		map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": "bokun"}, "specification": map[string]any{
			"healthPath": "/health", "connectionLimit": 390, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 4.9}},
		map[string]any{"resourceKind": "limits", "metadata": map[string]any{}, "specification": map[string]any{
			"headerBytes": 16384, "bodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}},
	}})
	return text
}

const hostName = "ficu95.example"

// start starts the process of a host.
func (l *lab) start(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := exec.Command(l.program)
	p.Env = []string{"QUETZALKNOT_SETTINGS=" + h.settings}
	p.Stdout, p.Stderr = l.log(h), os.Stderr
	if err := p.Start(); err != nil {
		go l.fail("start %s: %v", h.name, err)
		return
	}
	ended := make(chan struct{})
	go func() {
		_ = p.Wait()
		close(ended)
	}()
	h.process, h.ended, h.disturbedAt = p, ended, time.Now()
	go l.note("host    %s starts", h.name)
}

// signal sends a signal to a host, which counts as a disturbance of it.
func (l *lab) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbedAt = time.Now()
	_ = h.process.Process.Signal(s)
	go l.note("host    %s gets %v", h.name, s)
}

// inTouch reports whether a host has been without disturbance for the contact time.
func (h *host) inTouch() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.disturbedAt) > contact
}

func (l *lab) ready(h *host) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", h.ip, l.port[1]))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (l *lab) awaitReady(h *host) {
	for range 150 {
		if l.ready(h) {
			l.note("host    %s is ready", h.name)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.fail("%s is not ready after 15 s", h.name)
}

// caller is a client with an address and a region of its own.
type caller struct {
	lab          *lab
	name, ip     string
	zone, region string
	// header are fields that this caller sends beside those of the protocol.
	header map[string]string
}

// addresses asks the directory of up to three hosts, those of the caller's region first.
func (c *caller) addresses() []string {
	var near, far []*host
	for _, h := range c.lab.hosts {
		if h.region == c.region {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	client := http.Client{Timeout: time.Second}
	for _, h := range append(near, far...)[:3] {
		q := url.Values{"name": {hostName}, "region": {c.region}, "zone": {c.zone}}
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/resolution?%s", h.ip, c.lab.port[2], q.Encode()))
		if err != nil {
			continue
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// result is how a client attempt ended.
type result struct {
	id      string
	status  int
	stamped bool
	body    string
	err     error
	inTouch bool
	// sentAt and endedAt are when the attempt began and when its answer was complete or its connection ended.
	sentAt, endedAt time.Time
}

// send sends one client attempt on a new connection to an entry address.
func (c *caller) send(addr, method, path, object, body string, limit time.Duration) result {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+c.lab.ids.Add(1))
	res := result{id: id}
	var to *host
	for _, h := range c.lab.hosts {
		if addr == fmt.Sprintf("%s:%d", h.ip, c.lab.port[0]) {
			to = h
		}
	}
	if to != nil {
		res.inTouch = to.inTouch()
	}
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.ip)}}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = bytesReader(body)
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	r.Host = hostName
	r.Header.Set("Request-Identifier", id)
	if object != "" {
		r.Header.Set("Cookie", "Affinity-Key="+object)
	}
	r.Header.Set("Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	for k, v := range c.header {
		r.Header.Set(k, v)
	}
	name := addr
	if to != nil {
		name = to.name
	}
	c.lab.note("client  %s sends %s %s %s to %s (in touch: %v)", c.name, id, method, path, name, res.inTouch)
	res.sentAt = time.Now()
	resp, err := transport.RoundTrip(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res.status, res.stamped, res.body = resp.StatusCode, resp.Header.Get("Response-Stamp") != "", string(data)
	}
	res.err, res.endedAt = err, time.Now()
	if err != nil {
		c.lab.note("client  %s gets no complete answer to %s: %v", c.name, id, err)
	} else {
		c.lab.note("client  %s gets %d for %s, stamp %v", c.name, res.status, id, res.stamped)
	}
	return res
}

const sigterm = syscall.SIGTERM

// log returns where a host's log goes: a file in the folder that LOGS names, or nowhere.
func (l *lab) log(h *host) io.Writer {
	folder := os.Getenv("LOGS")
	if folder == "" {
		return io.Discard
	}
	f, err := os.OpenFile(filepath.Join(folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return io.Discard
	}
	return f
}
