// Command lab runs the scripted cases of review 3: it starts quetzald as separate processes with the command of the
// deploy file and stand-ins for the store, the targets and the clients, all on loopback addresses.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// contact is the bound of that name in the settings.
	contact = 4 * time.Second
	// deadlyPath is the path of the request that crashes each target that begins to run it.
	deadlyPath = "/lohu930/2f"
	// maxRetries is how many retries of such a request the rule allows.
	maxRetries = 3
)

// maxTime is how long a case may take.
const maxTime = 118 * time.Second

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// lab is a small deployment.
type lab struct {
	*record
	trouble bool
	folder  string
	ip      string // the first three parts of the loopback addresses in use
	store   *store
	hosts   []*host
	zones   [][2]string // zone and region
	mu      sync.Mutex
	version uint64
}

// host is one quetzald process.
type host struct {
	lab                     *lab
	name, zone, region, ip  string
	settings                string
	entry, ready, directory string
	mu                      sync.Mutex
	cmd                     *exec.Cmd
	ended                   chan struct{}
	startedAt               time.Time
}

func fail(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		panic(exitNotRun)
	}
}

// newLab makes an empty deployment with three zones.
func newLab(folder string) *lab {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	fail(err)
	tmp, err := os.MkdirTemp("", "review3-")
	fail(err)
	l := &lab{record: &record{file: f, started: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", folder: tmp,
		zones: [][2]string{{"sv-hofn", "sudvestur"}, {"no-gler", "nordur"}, {"au-fjord", "austur"}, {"sv-hraun", "sudvestur"}, {"no-eyri", "nordur"}, {"au-dalur", "austur"}}}
	l.ip = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	l.store, err = newStore(l.ip + ".1:0")
	fail(err)
	l.line("trouble: %v; store %s", l.trouble, l.store.addr())
	return l
}

// freePort returns a port on which nothing listens at an address.
func freePort(ip string) int {
	c, err := net.Listen("tcp", ip+":0")
	fail(err)
	defer c.Close()
	return c.Addr().(*net.TCPAddr).Port
}

// addHost writes the settings of a host, with the figures of the pages' example, and starts it.
func (l *lab) addHost(zone int, memoryMB, descriptors int, firstStart bool) *host {
	n := len(l.hosts)
	h := &host{lab: l, name: fmt.Sprintf("front-%s-%d", l.zones[zone][0], n+1), zone: l.zones[zone][0], region: l.zones[zone][1], ip: fmt.Sprintf("%s.%d", l.ip, 10+n)}
	port := func() string { return fmt.Sprintf("%s:%d", h.ip, freePort(h.ip)) }
	h.entry, h.ready, h.directory = port(), port(), port()
	peer := freePort(h.ip)
	metrics := freePort(h.ip)
	text := fmt.Sprintf(`[host]
name = %q
region = %q
failure_domain = %q
ip = %q
%slink_mbps = 1000.0
cpu_share = 0.32
cores = 1
memory_mb = %d
file_descriptors = %d

[listen]
entry = %q
ready = %q
directory = %q
first_peer_port = %d
last_peer_port = %d
metrics_port = %d

[store]
address = %q

[bounds]
grace = "6s"
retry_window = "10s"
retry_ratio = 0.2
retry_extra = 62
lookup_ttl_max = "5s"
change = "2500ms"
cold_overrun = 1.5
cold_slack = 5

[regions]
`, h.name, h.region, h.zone, h.ip, map[bool]string{true: "first_start = true\n"}[firstStart], memoryMB, descriptors,
		h.entry, h.ready, h.directory, peer, min(65535, peer+15), metrics, l.store.addr())
	for _, z := range l.zones {
		text += fmt.Sprintf("%q = %q\n", z[0], z[1])
	}
	h.settings = filepath.Join(l.folder, h.name+".toml")
	fail(os.WriteFile(h.settings, []byte(text), 0o600))
	l.hosts = append(l.hosts, h)
	h.start()
	return h
}

// start starts the process by the command of deploy/system.toml.
func (h *host) start() {
	cmd := exec.Command("target/quetzald")
	cmd.Env = append([]string{"QUETZALKNOT_SETTINGS=" + h.settings}, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"))
	out, err := os.OpenFile(filepath.Join(h.lab.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	fail(err)
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	fail(cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	h.mu.Lock()
	h.cmd, h.ended, h.startedAt = cmd, ended, time.Now()
	h.mu.Unlock()
	h.lab.line("%s started, entry %s", h.name, h.entry)
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.lab.line("%s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// isReady asks the readiness check.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (l *lab) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range l.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(l.hosts) {
			l.line("all %d hosts are ready", ready)
			return
		}
		if time.Now().After(end) {
			fail(fmt.Errorf("%d of %d hosts are ready", ready, len(l.hosts)))
		}
	}
}

// close ends all processes.
func (l *lab) close() {
	for _, h := range l.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", l.folder)
	} else {
		_ = os.RemoveAll(l.folder)
	}
	_ = l.file.Close()
}

// route is a route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeout                     string
	attempts                    int
}

// putConfig writes a desired state. Services are those of the routes.
func (l *lab) putConfig(coldPerS float64, routes ...route) {
	l.mu.Lock()
	l.version += 1 + uint64(rand.IntN(3))
	version := l.version
	l.mu.Unlock()
	var items []string
	services := make(map[string]bool)
	for _, r := range routes {
		items = append(items, fmt.Sprintf(`{"resourceKind":"routes","metadata":{"name":%q},"specification":{"host":"ficu95.example","prefix":%q,"kind":%q,"timeout":%q,"fullCredit":"600ms","priority":1,"service":%q,"attempts":%d,"sessionAffinity":true,"homeRegions":[]}}`,
			r.name, r.prefix, r.kind, r.timeout, r.service, r.attempts))
		services[r.service] = true
	}
	for s := range services {
		items = append(items, fmt.Sprintf(`{"resourceKind":"services","metadata":{"name":%q},"specification":{"healthPath":"/health","connectionLimit":390,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":%v}}`, s, coldPerS))
	}
	items = append(items, `{"resourceKind":"limits","metadata":{},"specification":{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`)
	l.store.put("op", "config", fmt.Sprintf(`{"version":%d,"resources":[%s]}`, version, strings.Join(items, ",")))
	l.line("desired state %d acknowledged", version)
}

// descriptors returns how many descriptors the process has open.
func (h *host) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid)) // none once it has ended
	return len(entries)
}

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(*lab) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	runtime.LockOSThread() // the hosts are ended with the thread that started them
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(c func(*lab) bool, folder string) (code int) {
	var l *lab
	defer func() {
		if l != nil {
			l.close()
		}
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, r)
			code = exitNotRun
		}
	}()
	l = newLab(folder)
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		_ = os.RemoveAll(l.folder)
		os.Exit(exitNotRun) // the hosts end with this process
	})
	if c(l) {
		l.line("the rule held")
		return exitHeld
	}
	l.line("the rule is broken")
	return exitBroken
}
