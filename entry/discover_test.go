package entry

import (
	"testing"
	"time"
)

// TestAllHostsAreReadRarely: a reader must read the rows of all hosts at first and every
// allHostsInterval, and those of its failure domain in between. At 910 hosts in nine failure domains, with
// 150 bytes a row, that must stay below 1.5 kB a second.
func TestAllHostsAreReadRarely(t *testing.T) {
	const hosts, domains, rowBytes, most = 910, 9, 150, 1500
	start := time.Now()
	var reads hostReads
	bytes := 0
	end := start.Add(20 * allHostsInterval)
	if !reads.all(start, 0) {
		t.Error("the first read is not one of all hosts")
	}
	for now := start; now.Before(end); now = now.Add(hostsReadInterval) {
		if reads.all(now, 0) {
			bytes += hosts * rowBytes
			reads.succeeded(now, 0)
			continue
		}
		bytes += hosts / domains * rowBytes
	}
	if rate := bytes / int(end.Sub(start).Seconds()); rate > most {
		t.Errorf("%d bytes a second, want at most %d", rate, most)
	}
	if !reads.all(end, 1) {
		t.Error("all hosts are not read again after some were forgotten")
	}
}
