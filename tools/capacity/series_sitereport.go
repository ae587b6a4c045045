package capacity

import (
	"context"
	"fmt"
	"time"

	"quetzalknot/process/sitereport"
)

// siteReportSeries returns the series about reports on sites. Their keys, which also name
// the plots of the page, start with digest.
func siteReportSeries() []series {
	sizes := []int{10, 25, 50, 100, 200}
	return []series{
		{"digest_merge", "Processor time to take in one report about each site", "sites", "ns", sizes, siteReportMerge},
		{"digest_bytes", "Length of a delta with three reports about each site", "sites", "bytes", sizes, siteReportBytes},
		{"digest_settle", "Processor time to settle all sites", "sites", "ns", sizes, siteReportAggregate},
		{"digest_watchers", "Processor time to find the watchers of all sites among 910 hosts", "sites", "ns", sizes, siteReportWatchers},
	}
}

func siteReports(sites int, stamp uint64) []sitereport.Report {
	var all []sitereport.Report
	for i := range sites {
		for w := range sitereport.WatcherCount {
			all = append(all, sitereport.Report{
				Site: sitereport.IDOf(fmt.Sprint("site-", i)), Reporter: sitereport.IDOf(fmt.Sprint("h", w)),
				Stamp: uint64(time.Now().UnixMilli()) + stamp, Own: sitereport.Full, Other: 128, AgeMS: 1000,
			})
		}
	}
	return all
}

func siteReportMerge(_ context.Context, size int) (float64, error) {
	reports := sitereport.New(time.Now)
	stamp := uint64(0)
	var err error
	cost := minOf(3, func() float64 {
		return cpuPerCall(func() {
			stamp++
			for _, r := range siteReports(size, stamp)[:size] {
				if _, mergeErr := reports.Merge(sitereport.Encode([]sitereport.Report{r})); mergeErr != nil {
					err = mergeErr
				}
			}
		})
	})
	return cost, err
}

func siteReportBytes(_ context.Context, size int) (float64, error) {
	return float64(len(sitereport.Encode(siteReports(size, 0)))), nil
}

func siteReportAggregate(_ context.Context, size int) (float64, error) {
	reports := sitereport.New(time.Now)
	if _, err := reports.Merge(sitereport.Encode(siteReports(size, 0))); err != nil {
		return 0, err
	}
	watchers := []string{"h0", "h1", "h2"}
	return minOf(3, func() float64 {
		return cpuPerCall(func() {
			for i := range size {
				sitereport.Aggregate(reports.About(fmt.Sprint("site-", i)), watchers)
			}
		})
	}), nil
}

func siteReportWatchers(_ context.Context, size int) (float64, error) {
	var hosts []sitereport.Host
	for _, h := range Hosts(910) {
		hosts = append(hosts, sitereport.Host{Name: h.Name, Region: h.Region, FailureDomain: h.FailureDomain})
	}
	return minOf(2, func() float64 {
		return cpuPerCall(func() {
			for i := range size {
				sitereport.WatchersOf(sitereport.Site{Region: regionName(i % regions), FailureDomain: fmt.Sprint(i)}, hosts)
			}
		})
	}), nil
}
