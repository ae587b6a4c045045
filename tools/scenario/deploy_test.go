package scenario

import (
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"quetzalknot/process/settings"
	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/lab/load"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/version/ticket"
)

// scriptState holds the cluster of one script, and its load and request in the background.
type scriptState struct {
	cluster  *cluster.Cluster
	report   chan *load.Report
	sender   *load.ClientSender
	loads    int
	response chan string
}

type scriptStateKey struct{}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

// cmdDeploy starts a cluster in three regions: deploy HOSTS SERVICE:TARGETS:SLOTS...
func cmdDeploy(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: deploy HOSTS SERVICE:TARGETS:SLOTS...")
	}
	d := cluster.Skiptidagur()
	d.Hosts = number(ts, args[0])
	d.Services = nil
	d.OneWay = 5 * time.Millisecond
	d.Adjust = func(s *settings.Settings) { s.Limits.StallMS = 3000 }
	for _, arg := range args[1:] {
		parts := strings.Split(arg, ":")
		d.Services = append(d.Services, cluster.Service{Name: parts[0], Targets: number(ts, parts[1]), Slots: number(ts, parts[2])})
	}
	c, err := cluster.Start(context.Background(), d, "", io.Discard)
	ts.Check(err)
	ts.Defer(c.Close)
	state := stateOf(ts)
	state.cluster = c
	state.sender = load.NewClientSender(c.APIAddrs(), 4)
	ts.Defer(state.sender.Close)
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// cmdLoad sends load in the background: load DURATION SERVICE,METHOD,PATH,RATE[,name=value]...
// The options are run (run time in ms), body and answer (sizes in bytes) and keyed.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: load DURATION SERVICE,METHOD,PATH,RATE[,name=value]...")
	}
	state := stateOf(ts)
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	var kinds []load.Kind
	for i, arg := range args[1:] {
		kinds = append(kinds, parseKind(ts, strconv.Itoa(i), arg))
	}
	state.loads++
	regions, blocks := state.cluster.Deployment.Callers()
	state.report = make(chan *load.Report, 1)
	go func(done chan<- *load.Report, runID string) {
		report, _ := load.Run(context.Background(), load.Options{
			Kinds: kinds, Regions: regions, Blocks: blocks, Seed: 3, Duration: duration, RunID: runID, Sender: state.sender,
		})
		done <- report
	}(state.report, "load"+strconv.Itoa(state.loads))
}

func parseKind(ts *testscript.TestScript, name, text string) load.Kind {
	parts := strings.Split(text, ",")
	if len(parts) < 4 {
		ts.Fatalf("load %q: give SERVICE,METHOD,PATH,RATE", text)
	}
	rate, err := strconv.ParseFloat(parts[3], 64)
	ts.Check(err)
	k := load.Kind{Name: parts[1] + parts[2] + name, Service: parts[0], Method: parts[1], Path: parts[2], RatePerSecond: rate, RunMS: 10}
	for _, option := range parts[4:] {
		key, value, _ := strings.Cut(option, "=")
		switch key {
		case "run":
			k.RunMS = float64(number(ts, value))
		case "body":
			k.BodyBytes = number(ts, value)
		case "answer":
			k.ResponseBytes = number(ts, value)
		case "keyed":
			k.Keyed = true
		default:
			ts.Fatalf("load %q: unknown option %q", text, key)
		}
	}
	return k
}

// cmdFault starts or ends a fault: fault on|off KIND [service=S] [share=F] [factor=F] [delay=MS] [region=R]
// The kind no-measurements delays the targets' load reports by an hour, so that none
// arrives during the script.
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 || (args[0] != "on" && args[0] != "off") {
		ts.Fatalf("usage: fault on|off KIND [name=value]...")
	}
	state, on := stateOf(ts), args[0] == "on"
	ft := cluster.Fault{Kind: args[1]}
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, "=")
		f, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "service":
			ft.Service = value
		case "share":
			ft.Share = f
		case "factor":
			ft.Factor = f
		case "delay":
			ft.DelayMS = int(f)
		case "region":
			ft.Region = value
		default:
			ts.Fatalf("fault: unknown option %q", arg)
		}
	}
	if ft.Kind == "no-measurements" {
		delayLoadReports(state.cluster.Targets[ft.Service], on)
		return
	}
	ts.Check(ft.Check())
	ts.Check(state.cluster.ApplyFault(context.Background(), ft, on))
}

func delayLoadReports(servers []*targetd.Server, on bool) {
	for _, s := range servers {
		faults := s.Faults()
		faults.LoadReportAgeMS = 0
		if on {
			faults.LoadReportAgeMS = int(time.Hour / time.Millisecond)
		}
		s.SetFaults(faults)
	}
}

// cmdHost stops or starts a host, numbered from 1: host kill|stop|start|restart N
func cmdHost(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: host kill|stop|start|restart N")
	}
	c, i := stateOf(ts).cluster, number(ts, args[1])-1
	switch args[0] {
	case "kill":
		c.KillHost(i)
	case "stop":
		ts.Check(c.StopHost(context.Background(), i))
	case "start":
		ts.Check(c.StartHost(context.Background(), i))
	case "restart":
		ts.Check(c.StopHost(context.Background(), i))
		ts.Check(c.StartHost(context.Background(), i))
	default:
		ts.Fatalf("host: unknown action %q", args[0])
	}
}

// cmdTicket submits a ticket to a host: ticket FILE [HOST]. With ! the host must not accept it.
func cmdTicket(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: ticket FILE [HOST]")
	}
	data, err := os.ReadFile(ts.MkAbs(args[0]))
	ts.Check(err)
	t, err := ticket.Parse(data, ticket.FormatTOML)
	ts.Check(err)
	hosts := stateOf(ts).cluster.Hosts()
	index := 0
	if len(args) > 1 {
		index = number(ts, args[1]) - 1
	}
	_, err = hosts[index].Process.Submit(context.Background(), t)
	ts.Logf("ticket %d: %v", t.Number, err)
	if (err != nil) != neg {
		ts.Fatalf("ticket %d: got %v, negated: %v", t.Number, err, neg)
	}
}

// cmdPause sleeps: pause DURATION
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(duration)
}

// cmdExpect waits for the end of the load, logs the counts and compares them:
// expect NAME=N NAME>=N NAME<=N ... In addition, the counts lost, doubled (ran twice),
// crossed (response of another request), cut (truncated response) and false-not-run
// must be 0.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	state := stateOf(ts)
	if neg || state.report == nil {
		ts.Fatalf("expect: no load was sent")
	}
	report := <-state.report
	state.report = nil
	var targets []*targetd.Server
	for _, servers := range state.cluster.Targets {
		targets = append(targets, servers...)
	}
	report.Reconcile(targets)
	sum := load.Result{}
	for i, r := range report.Results {
		if i == 0 {
			sum = *r
			continue
		}
		sum.Add(r)
	}
	counts := map[string]int{
		"sent": sum.Sent, "ran": sum.Ran, "not-run": sum.NotRun, "may-have-run": sum.MayHaveRun, "lost": sum.Lost, "doubled": sum.RanTwice,
		"crossed": sum.Mismatched, "cut": sum.Truncated, "unanswered": sum.Unanswered, "false-not-run": sum.FalseNotRun,
	}
	ts.Logf("sent=%d ran=%d not-run=%d may-have-run=%d lost=%d doubled=%d crossed=%d cut=%d unanswered=%d false-not-run=%d",
		sum.Sent, sum.Ran, sum.NotRun, sum.MayHaveRun, sum.Lost, sum.RanTwice, sum.Mismatched, sum.Truncated, sum.Unanswered, sum.FalseNotRun)
	for _, arg := range append(args, "lost=0", "doubled=0", "crossed=0", "cut=0", "false-not-run=0") {
		if !countMatches(ts, counts, arg) {
			ts.Fatalf("expect %s: got %v", arg, counts)
		}
	}
}

// countMatches reports whether one comparison of cmdExpect is true. A limit that ends
// in % is a percentage of the requests sent.
func countMatches(ts *testscript.TestScript, counts map[string]int, text string) bool {
	opIndex := strings.IndexAny(text, "=<>")
	if opIndex < 0 {
		ts.Fatalf("expect %q: give NAME=N, NAME>=N or NAME<=N", text)
	}
	name, op := text[:opIndex], strings.TrimRight(text[opIndex:], "0123456789%")
	count, known := counts[name]
	if !known {
		ts.Fatalf("expect: unknown count %q", name)
	}
	limit, percent := strings.CutSuffix(text[opIndex+len(op):], "%")
	want := number(ts, limit)
	if percent {
		want = int(math.Ceil(float64(want*counts["sent"]) / 100))
	}
	switch op {
	case "=":
		return count == want
	case ">=":
		return count >= want
	case "<=":
		return count <= want
	}
	ts.Fatalf("expect: unknown comparison %q", op)
	return false
}

// cmdSend sends a request several times, through each host in turn, and compares the
// last response:
// send METHOD PATH TIMES STATUS VERDICT [Name:Value]...
func cmdSend(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: send METHOD PATH TIMES STATUS VERDICT [Name:Value]...")
	}
	hosts := stateOf(ts).cluster.Hosts()
	status, verdict := "", ""
	for i := range number(ts, args[2]) {
		addr := hosts[i%len(hosts)].Process.Addrs().Forward
		req, err := http.NewRequest(args[0], "http://"+addr+args[1], strings.NewReader("body"))
		ts.Check(err)
		req.Host = "bokun"
		for _, header := range args[5:] {
			name, value, _ := strings.Cut(header, ":")
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		ts.Check(err)
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, verdict = strconv.Itoa(resp.StatusCode), resp.Header.Get("Quetzal-Verdict")
		ts.Logf("host %d: %s %s %s", i%len(hosts)+1, status, verdict, body)
	}
	if status != args[3] || verdict != args[4] {
		ts.Fatalf("got %s %s, want %s %s", status, verdict, args[3], args[4])
	}
}

// cmdCrashes requires an exact total of crashes over all targets: crashes N
func cmdCrashes(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, servers := range stateOf(ts).cluster.Targets {
		for _, s := range servers {
			n += s.Record().Crashes
		}
	}
	if n != number(ts, args[0]) {
		ts.Fatalf("%d targets crashed, want %s", n, args[0])
	}
}

// cmdIdle requires that a target starts no request for a duration: idle TARGET DURATION
func cmdIdle(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: idle TARGET DURATION")
	}
	duration, err := time.ParseDuration(args[1])
	ts.Check(err)
	for _, servers := range stateOf(ts).cluster.Targets {
		for _, s := range servers {
			if s.Name() != args[0] {
				continue
			}
			before := runCount(s)
			time.Sleep(duration)
			if n := runCount(s) - before; n > 0 {
				ts.Fatalf("%s started %d requests, want none", args[0], n)
			}
			return
		}
	}
	ts.Fatalf("idle: no target %q", args[0])
}

// runCount returns the number of requests that a target has started.
func runCount(s *targetd.Server) int {
	n := 0
	for _, runs := range s.Record().Runs {
		n += runs
	}
	return n
}

// cmdSignal sends TERM, STOP or CONT to a background process, identified by its
// position from 1 among those still running: signal TERM|STOP|CONT N
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{"TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	ts.Check(ts.BackgroundCmds()[number(ts, args[1])-1].Process.Signal(signals[args[0]]))
}
