package capacity

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/digest"
	"quetzalknot/process/membership"
)

// The design size, from the users' plan for two years.
const (
	nodes             = 910
	siteCount         = 100
	lookupsPerSecond  = 370_000
	ticketsPerDay     = 710
	restartsPerDay    = 49
	failuresPerDay    = 2
	hostsPerRack      = 20
	failureDomains    = 22
	secondsPerDay     = 86_400
	boundCPU          = 0.035
	boundMemory       = 128e6
	boundBytes        = 2_000.0
	boundDecision     = 1_000.0
	boundDecisionCPU  = 0.1
	viewsPerSecond    = 0.1
	exchangesPerSec   = 1.0
	blockTicketsShare = 0.25
	deltaBlocks       = 64
	ticketsKept       = 2_000
	ticketBytes       = 3_000
)

// model works out what one host spends at the design size from slopes.
type model struct {
	r *Result
}

// needed are the slopes without which there is no model.
var needed = []string{
	"table_memory", "table_stored", "table_load", "table_delta", "decision_blocks", "decision_hosts", "view", "lookup_http",
	"digest_settle", "digest_watchers", "members_memory", "heartbeat_cpu", "heartbeat_bytes",
	"ticket_push_cpu", "ticket_push_bytes", "report_push_cpu", "report_push_bytes", "members_sync_bytes",
}

func newModel(r *Result) (*model, error) {
	for _, key := range needed {
		if r.Slope(key) == nil {
			return nil, errors.Newf("slope %s is not measured", key)
		}
	}
	if r.Swap == nil || r.Blocks != FullBlocks {
		return nil, errors.New("the full rebuild at the design size is not measured")
	}
	return &model{r: r}, nil
}

func (m *model) per(key string) float64 { return m.r.Slope(key).PerUnit }

func (m *model) at(key string, x float64) float64 { return m.r.Slope(key).At(x) }

// controlRow is what one part of the control of a host spends.
type controlRow struct {
	role      string
	part      string
	mechanism string
	// messages and bytes are what the host sends in a second; it receives as much.
	messages float64
	bytes    float64
	// cpu is the share of a core, memory in bytes.
	cpu    float64
	memory float64
	basis  string
}

// reportsPerSecond is how many reports about sites and links between regions all
// hosts publish together.
func reportsPerSecond() float64 {
	links := regions * (regions - 1)
	return float64((siteCount+links)*digest.Watchers) / digest.RepeatEvery.Seconds()
}

// share returns the share of a core of a cost in nanoseconds, paid so often a second.
func share(nanoseconds, perSecond float64) float64 { return nanoseconds * perSecond / 1e9 }

func (m *model) controlRows() []controlRow {
	degree := float64(membership.Degree)
	tickets := float64(ticketsPerDay) / secondsPerDay
	churn := float64(2*(restartsPerDay+failuresPerDay)) / secondsPerDay
	loads := 1 / float64(secondsPerDay)
	deltas := tickets * blockTicketsShare
	// Each ticket and report is sent once to each partner and arrives once from each;
	// a push measured at both ends counts once for each host.
	return []controlRow{
		{"lookup", "block table in force", "version/lookup, paged arrays", 0, 0,
			share(m.at("table_load", FullBlocks), loads) + share(m.at("table_delta", deltaBlocks), deltas), m.at("table_memory", FullBlocks), "measured; one full rebuild and 178 deltas of 64 blocks a day assumed"},
		{"lookup", "second table during a rebuild", "swap, old table collected at once", 0, 0, 0, float64(m.r.Swap.Peak) - m.at("table_memory", FullBlocks), "measured peak"},
		{"lookup", "view: weights, hosts, regions", "new view every 10 s and on change", 0, 0,
			share(m.at("view", nodes)+m.at("digest_settle", siteCount), viewsPerSecond+churn+tickets), 0.5e6, "processor time measured, memory calculated"},
		{"all", "heartbeats: exchanges of sums", "version/spread, 6 rings", exchangesPerSec * 2, m.per("heartbeat_bytes") * exchangesPerSec,
			share(m.per("heartbeat_cpu"), exchangesPerSec), m.at("members_memory", nodes), "measured"},
		{"all", "tickets", "push to 6 partners, exchange as repair", tickets * degree, m.per("ticket_push_bytes") * tickets * degree,
			share(m.per("ticket_push_cpu"), tickets*degree), ticketsKept * ticketBytes, "push measured; 2,000 kept tickets of 3 kB calculated"},
		{"all", "restarts and failures of an ordinary day", "push to 6 partners", churn * degree, m.per("report_push_bytes") * churn * degree,
			share(m.per("report_push_cpu")+m.at("digest_watchers", siteCount), churn*degree), 0, "calculated from the push of a report"},
		{"watch", "reports about sites and links", "process/digest: 3 watchers each, repeated every 10 min", reportsPerSecond() * degree, m.per("report_push_bytes") * reportsPerSecond() * degree,
			share(m.per("report_push_cpu"), reportsPerSecond()*degree), siteCount * digest.Watchers * 100, "push measured, memory calculated"},
	}
}

func (m *model) controlTable() string {
	var rows [][]string
	var sum controlRow
	for _, r := range m.controlRows() {
		rows = append(rows, []string{r.role, r.part, r.mechanism, fmt.Sprintf("%.3f", r.messages), fmt.Sprintf("%.0f", r.bytes),
			fmt.Sprintf("%.4f %%", r.cpu*100), megabytes(int64(r.memory)), r.basis})
		sum.messages += r.messages
		sum.bytes += r.bytes
		sum.cpu += r.cpu
		sum.memory += r.memory
	}
	rows = append(rows, []string{"", "**sum**", "", fmt.Sprintf("%.3f", sum.messages), fmt.Sprintf("%.0f", sum.bytes), fmt.Sprintf("%.4f %%", sum.cpu*100), megabytes(int64(sum.memory)), ""})
	rows = append(rows, []string{"", "bound", "", "", fmt.Sprintf("%.0f", boundBytes), fmt.Sprintf("%.1f %%", boundCPU*100), megabytes(boundMemory), ""})
	rows = append(rows, []string{"", "spent share of the bound", "", "", percent(sum.bytes / boundBytes), percent(sum.cpu / boundCPU), percent(sum.memory / boundMemory), ""})
	rows = append(rows, []string{"", "the same, received bytes counted as well", "", "", percent(2 * sum.bytes / boundBytes), "", "", ""})
	return markdown([]string{"role", "part", "mechanism", "messages sent a second", "bytes sent a second", "of a core", "memory", "basis"}, rows)
}

func percent(share float64) string { return fmt.Sprintf("%.0f %%", share*100) }

func (m *model) workTable() string {
	rate := float64(lookupsPerSecond) / nodes
	decision := m.r.Slope("decision_blocks").Y[len(m.r.Slope("decision_blocks").Y)-1] / 1000
	http := m.per("lookup_http")
	return markdown([]string{"work", "per look-up", "at 407 look-ups a second and host", "bound", "basis"}, [][]string{
		{"decision at 3.1 million blocks and 910 hosts", fmt.Sprintf("%.0f ns", decision), fmt.Sprintf("%.3f %% of a core", share(decision, rate)*100),
			fmt.Sprintf("%.0f ns; %.0f %% of a core", boundDecision, boundDecisionCPU*100), "measured"},
		{"whole HTTP look-up with its log line, both ends", fmt.Sprintf("%.0f µs", http/1000), fmt.Sprintf("%.1f %% of a core", share(http, rate)*100), "none stated", "measured over loopback, client included"},
	})
}

// event is a fault of the letter's day.
type event struct {
	name string
	// changes is how many members change their state, there and back.
	changes float64
	// reports is how many reports about sites change their level.
	reports float64
	// seconds is how long the changes spread out.
	seconds float64
	note    string
}

func (m *model) dayTable() string {
	domain := float64(nodes) / failureDomains
	region := float64(nodes) / regions
	steps := 5.0
	perDomain := float64(siteCount) / failureDomains * digest.Watchers
	events := []event{
		{"1 of 49 restarts", 2, 0, 10, "leaves by itself, returns with a new incarnation; then its table: " + megabytes(int64(m.at("table_stored", FullBlocks))) + " from the object store"},
		{"1 of 2 host failures", 2, 0, 10, "peers suspect it for 5 s; callers go on with the second entry of their cached answer"},
		{"a rack of 20 hosts", 2 * hostsPerRack, 0, 20, "as above; entries in other failure domains are in every cached answer"},
		{"a failure domain", 2 * domain, perDomain * (1 + steps), 100, "its sites go to level 0 at once and come back by one step every 20 s"},
		{"regions apart for minutes, both ways", 2 * region, perDomain * failureDomains / regions * (1 + steps), 100, "each side goes on with its own view; no report from the other side attracts anybody after it counts as lost"},
	}
	degree := float64(membership.Degree)
	var rows [][]string
	for _, e := range events {
		bytes := (e.changes + e.reports) * degree * m.per("report_push_bytes")
		cpu := (e.changes + e.reports) * degree * m.per("report_push_cpu")
		rate := bytes / e.seconds
		verdict := "met"
		if rate > boundBytes {
			verdict = "not met for these seconds"
		}
		rows = append(rows, []string{e.name, fmt.Sprintf("%.0f", e.changes), fmt.Sprintf("%.0f", e.reports), fmt.Sprintf("%.1f kB", bytes/1000),
			fmt.Sprintf("%.0f B/s over %.0f s", rate, e.seconds), fmt.Sprintf("%.2f %%", share(cpu, 1/e.seconds)*100), verdict, e.note})
	}
	return markdown([]string{"fault", "member changes", "report changes", "bytes sent by each host", "rate", "of a core", "2 KB a second", "what happens"}, rows)
}
