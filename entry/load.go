package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"quetzalknot/process/partner"
)

const (
	// loadTimeout is how long a starting host waits for the tables of another host of its
	// failure domain before it reads them from the store.
	loadTimeout = 1500 * time.Millisecond
	// regionTimeout is how long, from its start, a host that would read the tables from the store
	// waits at the first start of the system for those of another failure domain of its region.
	regionTimeout = 1200 * time.Millisecond
	// announcementTime is the pause at the first start of the system, in which the hosts announce
	// themselves.
	announcementTime = 300 * time.Millisecond
	// heartbeatTimeout limits one round of heartbeats, since hosts that are listed may be gone.
	heartbeatTimeout = 250 * time.Millisecond
	// loadPause is the time between two rounds of heartbeats.
	loadPause = 100 * time.Millisecond
	// tablesPoll is the time between two checks whether the tables are there.
	tablesPoll = 10 * time.Millisecond
	// startReaders is the number of hosts of a failure domain that read the tables from the
	// store when all hosts start together.
	startReaders = 2
	// maxContacted bounds the hosts that a starting host contacts in one round.
	maxContacted = 6
)

// load announces this host and takes the tables over from another host of its failure domain.
// It returns when they are there, or when this host has to read them from the store: because
// it is one of the first hosts of its failure domain by name and neither it nor the first failure
// domain of the region has them, because the
// store cannot be read, or after loadTimeout. So when many hosts start together, the tables
// cross to a failure domain a few times and not once for each host.
func (h *Host) load(ctx context.Context) {
	deadline := time.Now().Add(loadTimeout)
	announcing := make(chan struct{})
	go func() {
		defer close(announcing)
		h.announce(ctx)
	}()
	defer func() { <-announcing }()
	domain := h.readDomain(ctx)
	firstStart := h.settings.Load().Host.FirstStart
	if !asksPartners(len(domain), firstStart) {
		return
	}
	h.contact(ctx, domain)
	wait := loadPause
	if firstStart {
		wait = announcementTime
	}
	if h.awaitTables(ctx, wait) {
		return
	}
	for ctx.Err() == nil && time.Now().Before(deadline) {
		domain = h.readDomain(ctx)
		h.contact(ctx, domain)
		if len(domain) == 0 || h.awaitTables(ctx, loadPause) {
			return
		}
		if h.isStartReader() {
			h.takeFromRegion(ctx, deadline.Add(regionTimeout-loadTimeout))
			return
		}
	}
}

// takeFromRegion takes the tables over from the first failure domain of this region, unless it
// is this host's own or a small one. It returns when they are there, after one try, or at the
// first start of the system, when that domain has to read them too, at the deadline.
func (h *Host) takeFromRegion(ctx context.Context, deadline time.Time) {
	first := firstDomain(h.settings.Load().Regions, h.self)
	if first == h.self.Domain {
		return
	}
	hosts, err := h.store.HostsOf(ctx, first)
	if err != nil || len(hosts) <= startReaders {
		return
	}
	h.group.AddMembers(hosts)
	for ctx.Err() == nil {
		h.contact(ctx, hosts)
		if h.awaitTables(ctx, loadPause) || !h.settings.Load().Host.FirstStart || time.Now().After(deadline) {
			return
		}
	}
}

// firstDomain returns the failure domain of a host's region that is first by name.
func firstDomain(regions map[string]string, self partner.Member) string {
	first := self.Domain
	for domain, region := range regions {
		if region == self.Region && domain < first {
			first = domain
		}
	}
	return first
}

// asksPartners reports whether a starting host asks others for the tables, given the number
// of hosts of its failure domain that the store lists. All hosts of a small one may read the
// store at once, unless the whole system starts and the others are not listed yet.
func asksPartners(listed int, firstStart bool) bool {
	return listed > startReaders || firstStart
}

// awaitTables waits up to d for a copy of each table, or as long as they are arriving, and reports whether there is one.
func (h *Host) awaitTables(ctx context.Context, d time.Duration) bool {
	for end := time.Now().Add(d); !h.group.HasTables(); {
		if time.Now().After(end) && !h.group.ReceivingSnapshot() || !pause(ctx, tablesPoll) {
			return false
		}
	}
	h.limitSendRate()
	return true
}

// readDomain returns the hosts of this failure domain that the store lists, this one
// included; none if the store does not say.
func (h *Host) readDomain(ctx context.Context) []partner.Member {
	domain, err := h.store.HostsOf(ctx, h.self.Domain)
	if err != nil {
		return nil
	}
	h.group.AddMembers(domain)
	return domain
}

// contact exchanges heartbeats with some of the hosts. If one of them has the tables, they are
// pulled from it, and contact returns without waiting for the others.
func (h *Host) contact(ctx context.Context, domain []partner.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	go func() {
		defer cancel()
		h.group.ExchangeHeartbeats(ctx, contacts(domain, h.self.Name))
	}()
	for !h.group.HasTables() && pause(ctx, tablesPoll) {
	}
}

// contacts returns the hosts that a starting host contacts: the first by name, which read the
// store if nobody has the tables, and those behind itself.
func contacts(domain []partner.Member, self string) []partner.Member {
	sorted := slices.SortedFunc(slices.Values(domain), func(a, b partner.Member) int { return cmp.Compare(a.Name, b.Name) })
	sorted = slices.DeleteFunc(sorted, func(m partner.Member) bool { return m.Name == self })
	if len(sorted) <= maxContacted {
		return sorted
	}
	at, _ := slices.BinarySearchFunc(sorted, self, func(m partner.Member, name string) int { return cmp.Compare(m.Name, name) })
	hosts := slices.Clone(sorted[:startReaders])
	for i := range maxContacted - startReaders {
		m := sorted[(at+i)%len(sorted)]
		if !slices.ContainsFunc(hosts, func(o partner.Member) bool { return o.Name == m.Name }) {
			hosts = append(hosts, m)
		}
	}
	return hosts
}

// isStartReader reports whether fewer than startReaders live hosts of this failure domain
// come before this one by name.
func (h *Host) isStartReader() bool {
	before := 0
	for _, m := range h.group.Alive() {
		if m.Domain == h.self.Domain && m.Name < h.self.Name {
			before++
		}
	}
	return before < startReaders
}
