package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"quetzalknot"
	"quetzalknot/platform/memory"
	"quetzalknot/process/settings"
	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
	"quetzalknot/version/ticket"
)

const (
	// domainsPerRegion is 22 failure domains divided by 6 regions, rounded up.
	domainsPerRegion = 4
	// clientCount is the number of different client addresses in a look-up measurement.
	clientCount = 1 << 16
)

// lookupSeries returns the series about look-ups.
func lookupSeries(full int) []series {
	return []series{
		{"decision_blocks", "Processor time of 1000 look-up decisions at 910 hosts", "blocks", "ns", fractions(full), decisionByBlocks},
		{"decision_hosts", "Processor time of 1000 look-up decisions at 100,000 blocks", "entry hosts", "ns", []int{7, 114, 228, 455, 910}, decisionByHosts},
		{"view", "Processor time to make a view while the hosts stay the same", "entry hosts", "ns", []int{7, 114, 228, 455, 910}, viewCost},
		{"view_hosts", "Processor time to make a view of other hosts", "entry hosts", "ns", []int{7, 114, 228, 455, 910}, newViewCost},
		{"lookup_http", "Processor time of HTTP look-ups, both ends and the log line", "look-ups", "ns", []int{500, 1000, 2000, 4000}, httpLookups},
	}
}

// Hosts returns n entry hosts in 6 regions.
func Hosts(n int) []lookup.Host {
	hosts := make([]lookup.Host, n)
	for i := range hosts {
		region := regionName(i % regions)
		hosts[i] = lookup.Host{
			Name: fmt.Sprintf("h%03d", i), Addr: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), API: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			Region: region, FailureDomain: fmt.Sprintf("%s-%d", region, i/regions%domainsPerRegion),
		}
	}
	return hosts
}

func inputsOf(table *lookup.Table, hosts int) lookup.Inputs {
	latency := func(from, to string) time.Duration {
		return time.Duration(10+len(from)+int(to[len(to)-1])) * time.Millisecond
	}
	return lookup.Inputs{Version: 1, Table: table, Services: []string{"bokun"}, Hosts: Hosts(hosts), Latency: latency}
}

func decisionCost(blocks, hosts int) (float64, error) {
	list := Blocks(blocks, 1)
	clients := ClientAddrs(list, clientCount, 1)
	table, err := buildTable(list)
	if err != nil {
		return 0, err
	}
	view := lookup.NewView(inputsOf(table, hosts))
	i := 0
	cost := minOf(3, func() float64 {
		return cpuPerCall(func() {
			for range 1000 {
				client := clients[i%len(clients)]
				view.ChooseHosts("bokun", client, lookup.CallerKey(client, ""))
				i++
			}
		})
	})
	return cost, nil
}

func decisionByBlocks(_ context.Context, size int) (float64, error) { return decisionCost(size, 910) }

func decisionByHosts(_ context.Context, size int) (float64, error) {
	return decisionCost(100_000, size)
}

func viewCost(_ context.Context, size int) (float64, error) {
	table, err := buildTable(Blocks(10_000, 1))
	if err != nil {
		return 0, err
	}
	in := inputsOf(table, size)
	in.Previous = lookup.NewView(in)
	return minOf(3, func() float64 { return cpuPerCall(func() { lookup.NewView(in) }) }), nil
}

func newViewCost(_ context.Context, size int) (float64, error) {
	in := inputsOf(&lookup.Table{}, size)
	return minOf(2, func() float64 { return cpuPerCall(func() { lookup.NewView(in) }) }), nil
}

// httpLookups sends look-ups to a complete entry host over loopback, on reused connections.
func httpLookups(ctx context.Context, size int) (float64, error) {
	host, err := startHost(ctx)
	if err != nil {
		return 0, err
	}
	defer func() { _ = host.Stop(context.Background()) }()
	url := "http://" + host.Addrs().API + "/v1/lookup?service=bokun&client="
	clients := ClientAddrs(Blocks(1000, 1), size, 1)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	sendAll := func() float64 {
		start := cpuTime()
		for _, c := range clients {
			if getErr := getOnce(ctx, transport, url, c); getErr != nil {
				err = getErr
			}
		}
		return float64((cpuTime() - start).Nanoseconds())
	}
	sendAll()
	return minOf(3, sendAll), err
}

func getOnce(ctx context.Context, transport http.RoundTripper, url string, client netip.Addr) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+client.String(), nil)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

const (
	// hostTimeout limits the start of an entry host, and hostPollInterval is the time between
	// two checks of it.
	hostTimeout      = 30 * time.Second
	hostPollInterval = 20 * time.Millisecond
)

// startHost starts an entry host and submits a ticket with the service bokun. It returns
// once the host answers look-ups for the service.
func startHost(ctx context.Context) (*quetzalknot.Host, error) {
	s := &settings.Settings{
		Host:   settings.Host{Name: "h1", Region: regionName(0), FailureDomain: regionName(0) + "-0"},
		Listen: settings.Listen{API: "127.0.0.1:0", Forward: "127.0.0.1:0", Peer: "127.0.0.1:0"},
		Roles:  settings.Roles{Lookup: true, Forward: true, Watch: true},
		Lookup: settings.Lookup{PerCaller: 1e9},
	}
	host := quetzalknot.New(s, quetzalknot.Options{Platform: memory.New(), Logs: io.Discard})
	if err := host.Start(ctx); err != nil {
		return nil, err
	}
	t := &ticket.Ticket{Number: 1, Operator: "capacity", Services: []config.Service{{
		Name: "bokun", Targets: []config.Target{{Name: "t1", Addr: closedAddr(), Region: regionName(0), FailureDomain: regionName(0) + "-0", Slots: 1}},
	}}}
	for deadline := time.Now().Add(hostTimeout); time.Now().Before(deadline); time.Sleep(hostPollInterval) {
		if _, err := host.Submit(ctx, t); err != nil {
			continue
		}
		if getOnce(ctx, http.DefaultTransport, "http://"+host.Addrs().API+"/v1/lookup?service=bokun&client=", netip.MustParseAddr("192.0.2.1")) == nil {
			return host, nil
		}
	}
	return nil, fmt.Errorf("the host did not answer look-ups within %v", hostTimeout)
}

// closedAddr returns a loopback address that refuses connections.
func closedAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:1"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
