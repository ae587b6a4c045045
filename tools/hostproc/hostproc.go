// Package hostproc runs entry hosts as processes on loopback addresses, with stand-ins for the store and
// the targets, for tests of what only processes show: their memory, their descriptors and their end.
package hostproc

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

const (
	// startTimeout is how long a host may take until it is ready.
	startTimeout = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// requestTimeout limits a request of Fleet.Send or a readiness check.
	requestTimeout = 5 * time.Second
	// restartDelay is how long a target that has crashed is down.
	restartDelay = time.Second
)

// Options describe a fleet.
type Options struct {
	Hosts, Targets int
	// HostSettings are further lines of the section [host].
	HostSettings string
	// State is the desired state; empty means standin.DesiredState.
	State string
	// CrashOn reports whether a request crashes the target that runs it. The target starts again as another
	// incarnation. It may be nil.
	CrashOn func(*http.Request) bool
	// Body is the length in bytes of the targets' responses; 0 means that of standin.Body.
	Body int
}

// Host is an entry host.
type Host struct {
	Name string
	// Entry is the address for callers, Ready that of the readiness check, Directory that of look-ups, Metrics that of the
	// metrics and Peer that of calls between hosts.
	Entry, Ready, Directory, Metrics, Peer string
	// Log is the path of its log.
	Log string

	settings string
	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
}

// Crash is a request that crashed a target.
type Crash struct {
	Request string
	At      time.Time
}

// Fleet is a set of hosts with one store and the targets of one service.
type Fleet struct {
	Store *standin.Store
	Hosts []*Host

	t       testing.TB
	opts    Options
	program string
	folder  string

	mu      sync.Mutex
	targets []*standin.Target
	crashes []Crash
	closed  bool
}

var (
	buildOnce sync.Once
	built     string
	errBuild  error
)

// build builds the daemon once for each test process. It is not built with the race detector, which would multiply
// the memory of the process.
func build(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		folder, err := os.MkdirTemp("", "quetzald-")
		if err != nil {
			errBuild = err
			return
		}
		built = filepath.Join(folder, "quetzald")
		if out, err := exec.Command("go", "build", "-o", built, "quetzalknot/cmd/quetzald").CombinedOutput(); err != nil {
			errBuild = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	if errBuild != nil {
		t.Fatal(errBuild)
	}
	return built
}

// Start starts a fleet and waits until all hosts are ready. The fleet is stopped when the test ends.
func Start(t testing.TB, opts Options) *Fleet {
	t.Helper()
	f := &Fleet{Store: standin.NewStore(), t: t, opts: opts, program: build(t), folder: t.TempDir()}
	t.Cleanup(f.close)
	if opts.State == "" {
		opts.State = standin.DesiredState(1, 50)
	}
	f.Store.PutState(opts.State)
	for i := range opts.Targets {
		f.addTarget(i, 0)
	}
	for i := range opts.Hosts {
		f.Hosts = append(f.Hosts, f.newHost(i))
	}
	for _, h := range f.Hosts {
		f.Launch(h)
	}
	for _, h := range f.Hosts {
		f.AwaitReady(h)
	}
	return f
}

var failureDomains = [][2]string{{"sv-hofn", "sudvestur"}, {"no-gler", "nordur"}, {"au-fjord", "austur"}}

// addTarget starts an incarnation of a target and reports it.
func (f *Fleet) addTarget(i, incarnation int) {
	target, err := standin.NewTarget(fmt.Sprintf("i-%d-%d", i, incarnation))
	if err != nil {
		f.t.Error(err)
		return
	}
	if f.opts.Body > 0 {
		target.SetBody(strings.Repeat("x", f.opts.Body))
	}
	if f.opts.CrashOn != nil {
		target.CrashOn(func(r *http.Request) bool {
			crashes := f.opts.CrashOn(r)
			if crashes {
				f.recordCrash(r.Header.Get("Request-Identifier"))
			}
			return crashes
		}, func() { time.AfterFunc(restartDelay, func() { f.replaceTarget(target.ID, i, incarnation+1) }) })
	}
	f.mu.Lock()
	f.targets = append(f.targets, target)
	closed := f.closed
	f.mu.Unlock()
	if closed {
		target.Close()
		return
	}
	f.Store.PutTarget(target.ID, target.Report("bokun", failureDomains[i%len(failureDomains)][0], "ready", 1))
}

func (f *Fleet) replaceTarget(id string, i, incarnation int) {
	f.Store.RemoveTarget(id)
	f.addTarget(i, incarnation)
}

func (f *Fleet) recordCrash(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, Crash{Request: request, At: time.Now()})
}

// Crashes returns the requests that crashed a target, in their order.
func (f *Fleet) Crashes() []Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Crash(nil), f.crashes...)
}

// Targets returns all incarnations of targets that were started.
func (f *Fleet) Targets() []*standin.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*standin.Target(nil), f.targets...)
}

func (f *Fleet) newHost(i int) *Host {
	ports, err := standin.FreePorts(5)
	if err != nil {
		f.t.Fatal(err)
	}
	at := func(n int) string { return fmt.Sprint("127.0.0.1:", ports[n]) }
	h := &Host{Name: fmt.Sprint("front-", i), Entry: at(0), Ready: at(1), Directory: at(2), Metrics: at(4), Peer: at(3)}
	domain := failureDomains[i%len(failureDomains)]
	text := fmt.Sprintf("[host]\nname = %q\nregion = %q\nfailure_domain = %q\nip = \"127.0.0.1\"\n%s\n"+
		"[listen]\nentry = %q\nready = %q\ndirectory = %q\nfirst_peer_port = %d\nlast_peer_port = 65535\nmetrics_port = %d\n"+
		"[store]\naddress = %q\n[bounds]\ngrace = \"6s\"\nretry_ratio = 0.2\nretry_extra = 60.0\n[regions]\n",
		h.Name, domain[1], domain[0], f.opts.HostSettings, h.Entry, h.Ready, h.Directory, ports[3], ports[4], f.Store.NewEndpoint().Addr())
	for _, d := range failureDomains {
		text += fmt.Sprintf("%q = %q\n", d[0], d[1])
	}
	h.settings = filepath.Join(f.folder, h.Name+".toml")
	h.Log = h.settings + ".log"
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return h
}

// Launch starts the process of a host.
func (f *Fleet) Launch(h *Host) {
	log, err := os.OpenFile(h.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(f.program)
	process.Env = []string{adapter.SettingsVariable + "=" + h.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		f.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait() // the tests look at whether it runs
		close(ended)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.ended = process, ended
}

// Kill ends the process of a host with SIGKILL and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill() // it may have ended
	<-ended
}

// Running reports whether the process of a host has not ended.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// AwaitReady waits until a host's readiness check succeeds.
func (f *Fleet) AwaitReady(h *Host) {
	f.t.Helper()
	client := http.Client{Timeout: requestTimeout}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		resp, err := client.Get("http://" + h.Ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	log, _ := os.ReadFile(h.Log)
	f.t.Fatalf("%s is not ready: %s", h.Name, log)
}

// Request is a request of a caller at an address.
type Request struct {
	ID, From, Path string
	Header         map[string]string
}

// Send sends a GET request to a host on a new connection and returns the status of the response, or 0 if there was none.
func (f *Fleet) Send(h *Host, r Request) int {
	dialer := net.Dialer{Timeout: time.Second}
	if r.From != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(r.From)}
	}
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+h.Entry+r.Path, nil)
	if err != nil {
		f.t.Error(err)
		return 0
	}
	req.Host = standin.HostName
	req.Header.Set("Request-Identifier", r.ID)
	req.Header.Set("Deadline-Milliseconds", "3000")
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (f *Fleet) close() {
	for _, h := range f.Hosts {
		h.Kill()
	}
	f.mu.Lock()
	f.closed = true
	targets := f.targets
	f.mu.Unlock()
	for _, target := range targets {
		target.Close()
	}
}
