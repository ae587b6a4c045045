// Package digest passes on what a few hosts measure about each site, and settles
// what all hosts believe about it.
//
// A site is the targets of one failure domain. The hosts that watch it follow
// from a hash of the live members. A host publishes its report when the reported
// level changes and seldom otherwise; reports carry their age, so that no clocks
// are compared. Reports that conflict, lag or are missing are settled so that
// they attract nobody.
package digest

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Topic is the name under which reports spread.
const Topic = "sites"

const (
	// MaxAge is how old a report may be and still count.
	MaxAge = 25 * time.Minute
	// expireAfter is when a report is forgotten.
	expireAfter = 40 * time.Minute
	// maxReporters bounds the reports about one site, and maxSites the sites.
	maxReporters = 8
	maxSites     = 1024
	// maxDeltaReports bounds one delta.
	maxDeltaReports = maxReporters * maxSites
)

// ID is the hash of the name of a site or host, as it goes over the network.
type ID uint32

// IDOf returns the hash of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Report is what one host measured about one site.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Site     ID
	Reporter ID
	// Stamp grows with each report of a reporter, also over its restarts.
	Stamp uint64
	// Own says how many of the callers that are nearest to the site it takes, and
	// Other how many others, from 0 to 255.
	Own   uint8
	Other uint8
	// AgeMS is how long ago the measurement was, in milliseconds.
	AgeMS uint32
}

// wireDigest is, for each site, a hash of the reports about it.
type wireDigest struct {
	_     struct{} `cbor:",toarray"`
	Sites []ID
	Sums  []uint32
}

// Reports holds the newest report of each reporter about each site. It has the
// methods of a topic that hosts spread. It is safe for concurrent use.
type Reports struct {
	now func() time.Time

	mu    sync.Mutex
	sites map[ID][]held
	sum   uint64
}

// held is a report with the moment of its measurement by this host's clock.
type held struct {
	Report
	at time.Time
}

// content is the part of a report that the sum covers: a report that is merely
// repeated does not make hosts compare all of them.
func (h held) content() uint64 {
	x := uint64(h.Site)<<32 | uint64(h.Reporter)
	return mix(mix(x) ^ uint64(h.Own)<<8 ^ uint64(h.Other) ^ 1<<32)
}

// mix returns a hash of a hash. It is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// New returns an empty set of reports.
func New(now func() time.Time) *Reports {
	return &Reports{now: now, sites: make(map[ID][]held)}
}

// Quiet implements the mark of topics that need no fast repair: a report that is
// lost on its way is repeated or found by the next exchange.
func (r *Reports) Quiet() {}

// Sum returns a hash of the content.
func (r *Reports) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sum
}

// Digest describes the content.
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
	for _, h := range r.sites[site] {
		sum ^= h.content()
	}
	return uint32(sum)
}

// Delta returns the reports about sites on which the digest's owner differs, up
// to about limit bytes.
func (r *Reports) Delta(digest []byte, limit int) []byte {
	var d wireDigest
	if err := cbor.Unmarshal(digest, &d); err != nil || len(d.Sites) != len(d.Sums) {
		return nil
	}
	theirs := make(map[ID]uint32, len(d.Sites))
	for i, site := range d.Sites {
		theirs[site] = d.Sums[i]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for _, site := range r.names() {
		if sum, ok := theirs[site]; ok && sum == r.siteSum(site) {
			continue
		}
		if len(out) > 0 && len(out)*reportBytes > limit {
			break
		}
		for _, h := range r.sites[site] {
			out = append(out, r.aged(h))
		}
	}
	return Encode(out)
}

// reportBytes is about the length of one report in a delta.
const reportBytes = 28

func (r *Reports) names() []ID {
	names := make([]ID, 0, len(r.sites))
	for site := range r.sites {
		names = append(names, site)
	}
	slices.Sort(names)
	return names
}

// aged returns a report with its age at this moment.
func (r *Reports) aged(h held) Report {
	out := h.Report
	out.AgeMS = uint32(max(r.now().Sub(h.at), 0).Milliseconds())
	return out
}

// Encode returns the delta of some reports, nil when there is none.
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

// Merge takes in a delta and reports whether any report in it was newer.
func (r *Reports) Merge(delta []byte) (bool, error) {
	var reports []Report
	if err := cbor.Unmarshal(delta, &reports); err != nil {
		return false, errors.Wrap(err, "site reports")
	}
	if len(reports) > maxDeltaReports {
		return false, errors.Newf("site reports: %d in one delta, more than %d", len(reports), maxDeltaReports)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	changed := false
	for _, report := range reports {
		if r.put(report) {
			changed = true
		}
	}
	return changed, nil
}

// put takes in one report when it is newer than the one held.
func (r *Reports) put(report Report) bool {
	age := time.Duration(report.AgeMS) * time.Millisecond
	if age > expireAfter {
		return false
	}
	h := held{Report: report, at: r.now().Add(-age)}
	list := r.sites[report.Site]
	if list == nil && len(r.sites) >= maxSites {
		return false
	}
	at := slices.IndexFunc(list, func(o held) bool { return o.Reporter == report.Reporter })
	if at >= 0 {
		if list[at].Stamp >= report.Stamp {
			return false
		}
		r.sum ^= list[at].content() ^ h.content()
		list[at] = h
		return true
	}
	r.sites[report.Site] = append(list, h)
	r.sum ^= h.content()
	return r.trim(report.Site, report.Reporter)
}

// trim drops the oldest reports about a site beyond maxReporters and reports
// whether the one of reporter stayed.
func (r *Reports) trim(site, reporter ID) bool {
	list := r.sites[site]
	if len(list) <= maxReporters {
		return true
	}
	slices.SortFunc(list, func(a, b held) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Reporter, b.Reporter)) })
	last := list[maxReporters]
	r.sum ^= last.content()
	r.sites[site] = list[:maxReporters]
	return last.Reporter != reporter
}

// expire forgets old reports.
func (r *Reports) expire() {
	now := r.now()
	for site, list := range r.sites {
		kept := slices.DeleteFunc(list, func(h held) bool {
			old := now.Sub(h.at) > expireAfter
			if old {
				r.sum ^= h.content()
			}
			return old
		})
		r.sites[site] = kept
		if len(kept) == 0 {
			delete(r.sites, site)
		}
	}
}

// About returns the reports about a site with their ages.
func (r *Reports) About(site string) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for _, h := range r.sites[IDOf(site)] {
		out = append(out, r.aged(h))
	}
	return out
}

// Own takes in a report of this host, measured now, and returns its delta for
// the other hosts. The stamp grows over restarts, since the host learns its
// earlier reports from the others.
func (r *Reports) Own(site, reporter string, l Level) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Site: IDOf(site), Reporter: IDOf(reporter), Own: l.Own, Other: l.Other}
	report.Stamp = uint64(r.now().UnixMilli())
	for _, h := range r.sites[report.Site] {
		if h.Reporter == report.Reporter {
			report.Stamp = max(report.Stamp, h.Stamp+1)
		}
	}
	r.put(report)
	return Encode([]Report{report})
}
