// Package sitereport replicates the reports of a few hosts about the load of each site
// and the latency of each link between regions, and aggregates them into one value
// that all hosts use.
//
// A site is the set of targets of one failure domain. The hosts that watch a site are
// chosen by rendezvous hashing among the live members. A host publishes a report when
// its level changes, and otherwise only every RepublishInterval. Reports carry their age,
// so that clocks of different hosts are never compared. When reports conflict, are
// outdated or are missing, the aggregate is conservative: it draws no additional
// callers to the site.
package sitereport

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Topic is the name of the gossip topic of reports.
const Topic = "sites"

const (
	// MaxReportAge is the largest age at which a report is used.
	MaxReportAge = 25 * time.Minute
	// reportTTL is the age at which a report is removed.
	reportTTL = 40 * time.Minute
	// maxReporters bounds the reports per site, and maxSites the sites.
	maxReporters = 8
	maxSites     = 1024
	// maxDeltaReports bounds the reports in a received delta.
	maxDeltaReports = maxReporters * maxSites
)

// ID is the hash of the name of a site, link or host. Reports carry it in place of the
// name.
type ID uint32

// IDOf returns the ID of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Report is the level that one host reports for one site or link.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Site     ID
	Reporter ID
	// Stamp increases with each report of a reporter about a site, also across restarts
	// of the reporter.
	Stamp uint64
	// Own and Other are the reported Level, each from 0 to 255. In a report about a link,
	// Own is its latency level.
	Own   uint8
	Other uint8
	// AgeMS is the age of the measurement when the report was sent, in milliseconds.
	AgeMS uint32
}

// wireDigest holds for each site a hash of the reports about it.
type wireDigest struct {
	_     struct{} `cbor:",toarray"`
	Sites []ID
	Sums  []uint32
}

// Reports holds the newest report of each reporter about each site. It implements
// spread.Topic. It is safe for concurrent use.
type Reports struct {
	now func() time.Time

	mu    sync.Mutex
	sites map[ID][]storedReport
	sum   uint64
}

// storedReport is a report with the time of its measurement by this host's clock.
type storedReport struct {
	Report
	measuredAt time.Time
}

// contentHash returns a hash of the site, reporter and levels, but not of the stamp and
// age: a republished report with the same levels leaves the sum unchanged, so that it
// does not trigger a synchronisation.
func (sr storedReport) contentHash() uint64 {
	x := uint64(sr.Site)<<32 | uint64(sr.Reporter)
	return mixBits(mixBits(x) ^ uint64(sr.Own)<<8 ^ uint64(sr.Other) ^ 1<<32)
}

// mixBits is the finalizer of splitmix64. It returns a well-distributed hash of x.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// New returns an empty Reports that reads the time from now.
func New(now func() time.Time) *Reports {
	return &Reports{now: now, sites: make(map[ID][]storedReport)}
}

// Quiet implements spread.Quiet. A change need not be followed by an early exchange,
// since a lost report is republished or fetched in the next regular exchange.
func (r *Reports) Quiet() {}

// Sum returns a hash of all reports. It implements spread.Topic.
func (r *Reports) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sum
}

// Digest returns an encoded hash of the reports about each site. It implements
// spread.Topic.
func (r *Reports) Digest() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	var d wireDigest
	for site := range r.sites {
		d.Sites = append(d.Sites, site)
	}
	slices.Sort(d.Sites)
	for _, site := range d.Sites {
		d.Sums = append(d.Sums, r.siteSum(site))
	}
	data, err := cbor.Marshal(&d)
	if err != nil {
		return nil
	}
	return data
}

func (r *Reports) siteSum(site ID) uint32 {
	var sum uint64
	for _, sr := range r.sites[site] {
		sum ^= sr.contentHash()
	}
	return uint32(sum)
}

// Delta returns the reports about the sites whose hash differs from the digest or is
// missing in it, up to about limit bytes. It implements spread.Topic.
func (r *Reports) Delta(digest []byte, limit int) []byte {
	var d wireDigest
	if err := cbor.Unmarshal(digest, &d); err != nil || len(d.Sites) != len(d.Sums) {
		return nil
	}
	remoteSums := make(map[ID]uint32, len(d.Sites))
	for i, site := range d.Sites {
		remoteSums[site] = d.Sums[i]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for _, site := range r.siteIDs() {
		if sum, ok := remoteSums[site]; ok && sum == r.siteSum(site) {
			continue
		}
		if len(out) > 0 && len(out)*approxReportBytes > limit {
			break
		}
		for _, sr := range r.sites[site] {
			out = append(out, r.withAge(sr))
		}
	}
	return Encode(out)
}

// approxReportBytes is the approximate encoded size of a report.
const approxReportBytes = 28

func (r *Reports) siteIDs() []ID {
	ids := make([]ID, 0, len(r.sites))
	for site := range r.sites {
		ids = append(ids, site)
	}
	slices.Sort(ids)
	return ids
}

// withAge returns a report with its current age.
func (r *Reports) withAge(sr storedReport) Report {
	out := sr.Report
	out.AgeMS = uint32(max(r.now().Sub(sr.measuredAt), 0).Milliseconds())
	return out
}

// Encode encodes reports as a delta. It returns nil when there are none.
func Encode(reports []Report) []byte {
	if len(reports) == 0 {
		return nil
	}
	data, err := cbor.Marshal(reports)
	if err != nil {
		return nil
	}
	return data
}

// Merge stores the reports of a delta that are newer than the stored ones and returns
// whether there were any. It implements spread.Topic.
func (r *Reports) Merge(delta []byte) (bool, error) {
	var reports []Report
	if err := cbor.Unmarshal(delta, &reports); err != nil {
		return false, errors.Wrap(err, "decode site reports delta")
	}
	if len(reports) > maxDeltaReports {
		return false, errors.Newf("site reports delta has %d reports; at most %d are allowed", len(reports), maxDeltaReports)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	changed := false
	for _, report := range reports {
		if r.store(report) {
			changed = true
		}
	}
	return changed, nil
}

// store stores a report if it is newer than the stored one of the same reporter. It
// returns whether the report was stored.
func (r *Reports) store(report Report) bool {
	age := time.Duration(report.AgeMS) * time.Millisecond
	if age > reportTTL {
		return false
	}
	sr := storedReport{Report: report, measuredAt: r.now().Add(-age)}
	list := r.sites[report.Site]
	if list == nil && len(r.sites) >= maxSites {
		return false
	}
	i := slices.IndexFunc(list, func(o storedReport) bool { return o.Reporter == report.Reporter })
	if i >= 0 {
		if list[i].Stamp >= report.Stamp {
			return false
		}
		r.sum ^= list[i].contentHash() ^ sr.contentHash()
		list[i] = sr
		return true
	}
	r.sites[report.Site] = append(list, sr)
	r.sum ^= sr.contentHash()
	return r.evictOldest(report.Site, report.Reporter)
}

// evictOldest removes the oldest report about a site if there are more than
// maxReporters. It returns whether the report of reporter was kept.
func (r *Reports) evictOldest(site, reporter ID) bool {
	list := r.sites[site]
	if len(list) <= maxReporters {
		return true
	}
	slices.SortFunc(list, func(a, b storedReport) int {
		return cmp.Or(b.measuredAt.Compare(a.measuredAt), cmp.Compare(a.Reporter, b.Reporter))
	})
	oldest := list[maxReporters]
	r.sum ^= oldest.contentHash()
	r.sites[site] = list[:maxReporters]
	return oldest.Reporter != reporter
}

// expire removes the reports that are older than reportTTL.
func (r *Reports) expire() {
	now := r.now()
	for site, list := range r.sites {
		remaining := slices.DeleteFunc(list, func(sr storedReport) bool {
			expired := now.Sub(sr.measuredAt) > reportTTL
			if expired {
				r.sum ^= sr.contentHash()
			}
			return expired
		})
		r.sites[site] = remaining
		if len(remaining) == 0 {
			delete(r.sites, site)
		}
	}
}

// About returns the reports about a site or link, with their current ages.
func (r *Reports) About(site string) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for _, sr := range r.sites[IDOf(site)] {
		out = append(out, r.withAge(sr))
	}
	return out
}

// AddOwn stores a report of this host, measured now, and returns its delta for the other
// hosts. The stamp is larger than that of the host's stored report, which after a
// restart the host has received back from the others.
func (r *Reports) AddOwn(site, reporter string, l Level) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Site: IDOf(site), Reporter: IDOf(reporter), Own: l.Own, Other: l.Other}
	report.Stamp = uint64(r.now().UnixMilli())
	for _, sr := range r.sites[report.Site] {
		if sr.Reporter == report.Reporter {
			report.Stamp = max(report.Stamp, sr.Stamp+1)
		}
	}
	r.store(report)
	return Encode([]Report{report})
}
