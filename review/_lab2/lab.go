package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"quetzalknot/platform/standin"
)

const (
	hostName     = "skip.example"
	healthPath   = "/health"
	poisonPrefix = "/safe/64/poison"
	settingsName = "QUETZALKNOT_SETTINGS"
	program      = "target/quetzald"
)

// service is the upstreams' service.
const service = "skjalasafn"

// places are the failure domains and regions of the small deployment.
var places = [][2]string{
	{"sv-hofn", "sudvestur"}, {"no-gler", "nordur"}, {"au-fjord", "austur"}, {"sv-hraun", "sudvestur"},
	{"no-eyri", "nordur"}, {"au-dalur", "austur"}, {"sv-hofn", "sudvestur"},
}

// record is the record of a run. Its lines have the time in milliseconds since the start of the run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d %s\n", at.Sub(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// event is what an upstream process has said.
type event struct {
	at                            time.Time
	upstream, name, request, more string
}

// server is an upstream's place: its processes come one after the other at one address.
type server struct {
	n           int
	addr, zone  string
	service     string
	mu          sync.Mutex
	id          string
	born        int64
	sequence    int
	incarnation int
	process     *exec.Cmd
	up          bool
}

// host is an entry host.
type host struct {
	name, zone, region, entry, ready, directory string
	settings                                    string
	link                                        *link
	mu                                          sync.Mutex
	process                                     *exec.Cmd
	ended                                       chan struct{}
	startedAt, termAt                           time.Time
}

// lab is one small deployment.
type lab struct {
	record  *record
	folder  string
	store   *standin.Store
	hosts   []*host
	servers []*server
	// args are further arguments of the upstreams, evenArgs those of every second one.
	args, evenArgs []string
	// restartDelay is how long an upstream that has crashed is down.
	restartDelay time.Duration
	// serviceOf returns the service of an upstream; nil means that all are of one.
	serviceOf func(i int) string

	mu     sync.Mutex
	events []event
	closed bool
}

func (l *lab) addHost(i int) error {
	ports, err := standin.FreePorts(5)
	if err != nil {
		return err
	}
	at := func(n int) string { return fmt.Sprint("127.0.0.1:", ports[n]) }
	p := places[i%len(places)]
	h := &host{name: fmt.Sprintf("front-%s-%d", p[0], 1+i/6), zone: p[0], region: p[1], entry: at(0), ready: at(1), directory: at(2)}
	if h.link, err = newLink(l.storeAddress()); err != nil {
		return err
	}
	text := fmt.Sprintf("[host]\nname = %q\nregion = %q\nfailure_domain = %q\nip = \"127.0.0.1\"\nfirst_start = true\nlink_mbps = 1000.0\n"+
		"cpu_share = 0.32\ncores = 1\nmemory_mb = 284\nfile_descriptors = 4100\n"+
		"[listen]\nentry = %q\nready = %q\ndirectory = %q\nfirst_peer_port = %d\nlast_peer_port = %d\nmetrics_port = %d\n"+
		"[store]\naddress = %q\n[bounds]\ngrace = \"6s\"\nretry_window = \"10s\"\nretry_ratio = 0.2\nretry_extra = 62\nlookup_ttl_max = \"5s\"\n"+
		"change = \"2500ms\"\ncold_overrun = 1.5\ncold_slack = 5\n[regions]\n",
		h.name, h.region, h.zone, h.entry, h.ready, h.directory, ports[3], ports[3], ports[4], h.link.addr())
	for _, p := range places[:6] {
		text += fmt.Sprintf("%q = %q\n", p[0], p[1])
	}
	h.settings = filepath.Join(l.folder, h.name+".toml")
	l.hosts = append(l.hosts, h)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// storeAddress returns a new address of the store. The header of the project's own store that the users' pages do not know
// is left out.
func (l *lab) storeAddress() string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: l.store.NewEndpoint().Addr()})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ModifyResponse = func(r *http.Response) error {
		r.Header.Del(standin.EraHeader)
		return nil
	}
	return httptest.NewServer(proxy).Listener.Addr().String()
}

// startHost starts the process of a host, as the deploy file says.
func (l *lab) startHost(h *host) error {
	out, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	process := exec.Command(program)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), settingsName + "=" + h.settings}
	process.Stdout, process.Stderr = out, out
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		l.record.add("host %s has ended: %v", h.name, process.ProcessState)
		close(ended)
	}()
	h.mu.Lock()
	h.process, h.ended, h.startedAt = process, ended, time.Now()
	h.mu.Unlock()
	l.record.add("host %s started, front %s", h.name, h.entry)
	return nil
}

// secondStart makes the settings those of a later start.
func (h *host) secondStart() error {
	data, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, []byte(strings.Replace(string(data), "first_start = true\n", "", 1)), 0o600)
}

func (h *host) current() (*exec.Cmd, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process, h.ended
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (l *lab) awaitReady(h *host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			l.record.add("host %s is ready", h.name)
			return true
		}
	}
	l.record.add("host %s is not ready", h.name)
	return false
}

// startServer starts the next process of an upstream's place and reports it.
func (l *lab) startServer(s *server) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.id, s.born, s.sequence = fmt.Sprintf("i-%02d%02d", s.n, s.incarnation), time.Now().UnixMilli(), 1
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := append([]string{"upstream", "-id", s.id, "-addr", s.addr}, l.args...)
	if s.n%2 == 0 {
		args = append(args, l.evenArgs...)
	}
	process := exec.Command(self, args...)
	out, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		return err
	}
	s.process, s.up = process, true
	id := s.id
	listens := make(chan struct{})
	go l.follow(s, process, id, bufio.NewScanner(out), listens)
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		return fmt.Errorf("upstream %s does not listen", id)
	}
	l.store.PutTarget(s.id, s.report("ready"))
	return nil
}

// report returns the row of an upstream. The lock must be held.
func (s *server) report(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":%q,"coldRemaining":"0ms","sequence":%d,"born":%d}`,
		s.service, s.addr, s.zone, state, s.sequence, s.born)
}

// follow records what an upstream process says until it ends, and starts the next one after a while. The entry of one that
// has crashed is removed after three heartbeats of silence.
func (l *lab) follow(s *server, process *exec.Cmd, id string, lines *bufio.Scanner, listens chan struct{}) {
	for lines.Scan() {
		var ms int64
		e := event{upstream: id}
		if _, err := fmt.Sscan(lines.Text(), &ms, &e.name, &e.request); err != nil {
			continue
		}
		if e.name == "listens" {
			close(listens)
		}
		fields := strings.SplitN(lines.Text(), " ", 4)
		e.at, e.more = time.UnixMilli(ms), fields[len(fields)-1]
		l.record.addAt(e.at, "upstream %s %s %s %s", id, e.name, e.request, e.more)
		l.mu.Lock()
		l.events = append(l.events, e)
		l.mu.Unlock()
	}
	_ = process.Wait()
	l.mu.Lock()
	l.events = append(l.events, event{at: time.Now(), upstream: id, name: "ended"})
	closed := l.closed
	l.mu.Unlock()
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	l.record.add("upstream %s has ended", id)
	if closed {
		return
	}
	time.AfterFunc(3*heartbeat, func() { l.store.RemoveTarget(id) })
	time.Sleep(l.restartDelay)
	l.mu.Lock()
	closed = l.closed
	l.mu.Unlock()
	if !closed {
		if err := l.startServer(s); err != nil {
			l.record.add("upstream at %s: %v", s.addr, err)
		}
	}
}

const heartbeat = 1500 * time.Millisecond

// beat writes the reports of the upstreams, as each does every heartbeat, at a time of its own.
func (l *lab) beat() {
	for _, s := range l.servers {
		go func() {
			time.Sleep(rand.N(heartbeat))
			for range time.Tick(heartbeat) {
				s.mu.Lock()
				if s.up {
					s.sequence++
					l.store.PutTarget(s.id, s.report("ready"))
				}
				s.mu.Unlock()
			}
		}()
	}
}

// start starts a deployment of so many hosts and upstreams, whose processes get further arguments.
func start(path string, hosts, servers int, state string, args ...string) (*lab, error) {
	return startWith(path, options{hosts: hosts, servers: servers, state: state, args: args})
}

// options are what differs between deployments.
type options struct {
	hosts, servers int
	state          string
	// args are further arguments of the upstreams, evenArgs those of every second one.
	args, evenArgs []string
	// serviceOf returns the service of an upstream; nil means that all are of one.
	serviceOf func(int) string
}

// startWith starts a deployment.
func startWith(path string, o options) (*lab, error) {
	r, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{record: r, folder: folder, store: standin.NewStore(), args: o.args, evenArgs: o.evenArgs, restartDelay: 3 * time.Second, serviceOf: o.serviceOf}
	l.store.PutState(o.state)
	ports, err := standin.FreePorts(o.servers)
	if err != nil {
		return l, err
	}
	for i := range o.servers {
		s := &server{n: i, addr: fmt.Sprint("127.0.0.1:", ports[i]), zone: places[i%6][0], service: service}
		if l.serviceOf != nil {
			s.service = l.serviceOf(i)
		}
		l.servers = append(l.servers, s)
		if err := l.startServer(s); err != nil {
			return l, err
		}
	}
	l.beat()
	for i := range o.hosts {
		if err := l.addHost(i); err != nil {
			return l, err
		}
	}
	for _, h := range l.hosts {
		if err := l.startHost(h); err != nil {
			return l, err
		}
	}
	for _, h := range l.hosts {
		if !l.awaitReady(h, 20*time.Second) {
			return l, fmt.Errorf("%s is not ready", h.name)
		}
		if err := h.secondStart(); err != nil {
			return l, err
		}
	}
	return l, nil
}

// stop ends all processes that the lab has started.
func (l *lab) stop() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for _, h := range l.hosts {
		if process, ended := h.current(); process != nil {
			_ = process.Process.Kill()
			<-ended
		}
	}
	for _, s := range l.servers {
		s.mu.Lock()
		if s.process != nil {
			_ = s.process.Process.Kill()
		}
		s.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Fprintln(os.Stderr, l.folder)
	}
}

// eventsOf returns what upstreams have said of a request, or all that has a name if the request is empty.
func (l *lab) eventsOf(request, name string) []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []event
	for _, e := range l.events {
		if (request == "" || e.request == request) && (name == "" || e.name == name) {
			found = append(found, e)
		}
	}
	return found
}

// resolve asks the directory of a host for addresses, as a client of a region does.
func resolve(h *host, region, zone string) []string {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	query := url.Values{"name": {hostName}, "region": {region}, "zone": {zone}}
	resp, err := client.Get("http://" + h.directory + "/-/resolution?" + query.Encode())
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses
}

// hostAt returns the host at an entry address.
func (l *lab) hostAt(addr string) *host {
	for _, h := range l.hosts {
		if h.entry == addr {
			return h
		}
	}
	return nil
}

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) }
