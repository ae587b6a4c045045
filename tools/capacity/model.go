package capacity

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/membership"
	"quetzalknot/process/sitereport"
)

// The design size, from the users' plan for two years, with the bounds for one host.
const (
	designHosts       = 910
	siteCount         = 100
	lookupsPerSecond  = 370_000
	ticketsPerDay     = 710
	restartsPerDay    = 49
	failuresPerDay    = 2
	hostsPerRack      = 20
	failureDomains    = 22
	secondsPerDay     = 86_400
	boundCPU          = 0.035   // share of a core
	boundMemory       = 128e6   // bytes
	boundBytes        = 2_000.0 // per second
	boundDecision     = 1_000.0 // nanoseconds
	boundDecisionCPU  = 0.1     // share of a core
	viewsPerSecond    = 0.1     // a new view every 10 s
	exchangesPerSec   = 1.0     // heartbeats that a host starts
	blockTicketsShare = 0.25    // share of tickets with a delta of the block table
	deltaBlocks       = 64      // changed blocks of a delta
	retainedTickets   = 2_000
	ticketBytes       = 3_000
)

// model calculates the cost of one host at the design size from the fitted slopes.
type model struct {
	r *Result
}

// requiredSlopes are the slopes that the model needs.
var requiredSlopes = []string{
	"table_memory", "table_stored", "table_load", "table_delta", "decision_blocks", "decision_hosts", "view", "lookup_http",
	"digest_settle", "digest_watchers", "members_memory", "heartbeat_cpu", "heartbeat_bytes",
	"ticket_push_cpu", "ticket_push_bytes", "report_push_cpu", "report_push_bytes", "members_sync_bytes",
}

func newModel(r *Result) (*model, error) {
	for _, key := range requiredSlopes {
		if r.Slope(key) == nil {
			return nil, errors.Newf("slope %s is not measured", key)
		}
	}
	if r.Rebuild == nil || r.Blocks != DesignBlocks {
		return nil, errors.New("the full rebuild at the design size is not measured")
	}
	return &model{r: r}, nil
}

func (m *model) perUnit(key string) float64 { return m.r.Slope(key).PerUnit }

func (m *model) fitted(key string, x float64) float64 { return m.r.Slope(key).At(x) }

// controlRow is the cost of one part of the control plane on a host.
type controlRow struct {
	role      string
	part      string
	mechanism string
	// messages and bytes are those that the host sends per second; it receives as many.
	messages float64
	bytes    float64
	// cpu is the share of a core, and memory is in bytes.
	cpu    float64
	memory float64
	// basis says how the values were determined: measured, calculated or assumed.
	basis string
}

// reportsPerSecond returns the number of reports about sites and about links between
// regions that all hosts together publish per second.
func reportsPerSecond() float64 {
	links := regions * (regions - 1)
	return float64((siteCount+links)*sitereport.WatcherCount) / sitereport.RepublishInterval.Seconds()
}

// coreShare returns the share of a core that an operation uses, from its cost in
// nanoseconds and its rate.
func coreShare(nanoseconds, perSecond float64) float64 { return nanoseconds * perSecond / 1e9 }

func (m *model) controlRows() []controlRow {
	partners := float64(membership.MaxPartners)
	tickets := float64(ticketsPerDay) / secondsPerDay
	churn := float64(2*(restartsPerDay+failuresPerDay)) / secondsPerDay
	rebuilds := 1 / float64(secondsPerDay)
	deltas := tickets * blockTicketsShare
	// A host sends each ticket and report once to each partner and receives it once from
	// each. The cost of a push, measured at both ends, therefore counts once per partner.
	return []controlRow{
		{"lookup", "block table in force", "version/lookup, paged arrays", 0, 0,
			coreShare(m.fitted("table_load", DesignBlocks), rebuilds) + coreShare(m.fitted("table_delta", deltaBlocks), deltas), m.fitted("table_memory", DesignBlocks), "measured; one full rebuild and 178 deltas of 64 blocks a day assumed"},
		{"lookup", "second table during a rebuild", "swap, old table collected at once", 0, 0, 0, float64(m.r.Rebuild.Peak) - m.fitted("table_memory", DesignBlocks), "measured peak"},
		{"lookup", "view: weights, hosts, regions", "new view every 10 s and on change", 0, 0,
			coreShare(m.fitted("view", designHosts)+m.fitted("digest_settle", siteCount), viewsPerSecond+churn+tickets), 0.5e6, "processor time measured, memory calculated"},
		{"all", "heartbeats: exchanges of sums", "version/spread, 6 rings", exchangesPerSec * 2, m.perUnit("heartbeat_bytes") * exchangesPerSec,
			coreShare(m.perUnit("heartbeat_cpu"), exchangesPerSec), m.fitted("members_memory", designHosts), "measured"},
		{"all", "tickets", "push to 6 partners, exchange as repair", tickets * partners, m.perUnit("ticket_push_bytes") * tickets * partners,
			coreShare(m.perUnit("ticket_push_cpu"), tickets*partners), retainedTickets * ticketBytes, "push measured; 2,000 kept tickets of 3 kB calculated"},
		{"all", "restarts and failures of an ordinary day", "push to 6 partners", churn * partners, m.perUnit("report_push_bytes") * churn * partners,
			coreShare(m.perUnit("report_push_cpu")+m.fitted("digest_watchers", siteCount), churn*partners), 0, "calculated from the push of a report"},
		{"watch", "reports about sites and links", "process/sitereport: 3 watchers each, repeated every 10 min", reportsPerSecond() * partners, m.perUnit("report_push_bytes") * reportsPerSecond() * partners,
			coreShare(m.perUnit("report_push_cpu"), reportsPerSecond()*partners), siteCount * sitereport.WatcherCount * 100, "push measured, memory calculated"},
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
	return markdownTable([]string{"role", "part", "mechanism", "messages sent a second", "bytes sent a second", "of a core", "memory", "basis"}, rows)
}

func percent(share float64) string { return fmt.Sprintf("%.0f %%", share*100) }

func (m *model) workTable() string {
	rate := float64(lookupsPerSecond) / designHosts
	decision := m.r.Slope("decision_blocks").Y[len(m.r.Slope("decision_blocks").Y)-1] / 1000
	http := m.perUnit("lookup_http")
	return markdownTable([]string{"work", "per look-up", "at 407 look-ups a second and host", "bound", "basis"}, [][]string{
		{"decision at 3.1 million blocks and 910 hosts", fmt.Sprintf("%.0f ns", decision), fmt.Sprintf("%.3f %% of a core", coreShare(decision, rate)*100),
			fmt.Sprintf("%.0f ns; %.0f %% of a core", boundDecision, boundDecisionCPU*100), "measured"},
		{"whole HTTP look-up with its log line, both ends", fmt.Sprintf("%.0f µs", http/1000), fmt.Sprintf("%.1f %% of a core", coreShare(http, rate)*100), "none stated", "measured over loopback, client included"},
	})
}

// faultEvent is one of the faults in the users' description of a day with faults.
type faultEvent struct {
	name string
	// changes is the number of changes of member states, including the changes back.
	changes float64
	// reports is the number of reports about sites whose level changes.
	reports float64
	// seconds is the time over which the changes are distributed.
	seconds float64
	note    string
}

func (m *model) dayTable() string {
	domain := float64(designHosts) / failureDomains
	region := float64(designHosts) / regions
	recoverySteps := 5.0
	reportsPerDomain := float64(siteCount) / failureDomains * sitereport.WatcherCount
	events := []faultEvent{
		{"1 of 49 restarts", 2, 0, 10, "leaves by itself, returns with a new incarnation; then its table: " + megabytes(int64(m.fitted("table_stored", DesignBlocks))) + " from the object store"},
		{"1 of 2 host failures", 2, 0, 10, "peers suspect it for 5 s; callers go on with the second entry of their cached answer"},
		{"a rack of 20 hosts", 2 * hostsPerRack, 0, 20, "as above; entries in other failure domains are in every cached answer"},
		{"a failure domain", 2 * domain, reportsPerDomain * (1 + recoverySteps), 100, "its sites go to level 0 at once and come back by one step every 20 s"},
		{"regions apart for minutes, both ways", 2 * region, reportsPerDomain * failureDomains / regions * (1 + recoverySteps), 100, "each side goes on with its own view; no report from the other side attracts anybody after it counts as lost"},
	}
	partners := float64(membership.MaxPartners)
	var rows [][]string
	for _, e := range events {
		bytes := (e.changes + e.reports) * partners * m.perUnit("report_push_bytes")
		cpu := (e.changes + e.reports) * partners * m.perUnit("report_push_cpu")
		rate := bytes / e.seconds
		verdict := "met"
		if rate > boundBytes {
			verdict = "not met for these seconds"
		}
		rows = append(rows, []string{e.name, fmt.Sprintf("%.0f", e.changes), fmt.Sprintf("%.0f", e.reports), fmt.Sprintf("%.1f kB", bytes/1000),
			fmt.Sprintf("%.0f B/s over %.0f s", rate, e.seconds), fmt.Sprintf("%.2f %%", coreShare(cpu, 1/e.seconds)*100), verdict, e.note})
	}
	return markdownTable([]string{"fault", "member changes", "report changes", "bytes sent by each host", "rate", "of a core", "2 KB a second", "what happens"}, rows)
}
