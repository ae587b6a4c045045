// Package cluster runs a cluster in one process on loopback: entry hosts, and stand-ins
// for the platform and the targets.
package cluster

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/settings"
	"quetzalknot/version/config"
)

// Deployment describes the regions, hosts and services of a cluster.
type Deployment struct {
	Name    string
	Regions []Region
	// StoreRegion is the region of the platform's store.
	StoreRegion string
	// OneWay is the latency between regions in one direction.
	OneWay time.Duration
	// LinkBytesPerSecond is the byte rate between a pair of regions in one direction.
	LinkBytesPerSecond int
	Hosts              int
	Services           []Service
	// Adjust modifies the settings of each host before it starts. It may be nil.
	Adjust func(s *settings.Settings)
}

// Region is a group of failure domains.
type Region struct {
	Name           string
	FailureDomains []string
	// Block is the address block of the region's callers.
	Block string
}

// Service describes a service and its targets.
type Service struct {
	Name    string
	Targets int
	Slots   int
	Classes []config.Class
	// HedgeShare limits hedged attempts as a share of first attempts; 0 means the default.
	HedgeShare float64
}

const (
	interRegionLatency = 35 * time.Millisecond
	connectDelay       = time.Millisecond
	entryHosts         = 7
	fourGbit           = 4_000_000_000 / 8
	threeHundredMbit   = 300_000_000 / 8
)

// Skiptidagur returns the deployment of the booking and records services.
func Skiptidagur() Deployment {
	return Deployment{
		Name: "skiptidagur", StoreRegion: "sudvestur", OneWay: interRegionLatency,
		LinkBytesPerSecond: fourGbit, Hosts: entryHosts,
		Regions: []Region{
			{Name: "sudvestur", FailureDomains: []string{"sv-hofn", "sv-hraun"}, Block: "10.1.0.0/16"},
			{Name: "nordur", FailureDomains: []string{"no-gler", "no-eyri"}, Block: "10.2.0.0/16"},
			{Name: "austur", FailureDomains: []string{"au-fjord", "au-dalur"}, Block: "10.3.0.0/16"},
		},
		Services: []Service{
			{Name: "bokun", Targets: 20, Slots: 6, Classes: []config.Class{
				{Name: "photo", PathPrefix: "/photos", Long: true},
				{Name: "slot", PathPrefix: "/"},
			}},
			{Name: "skjalasafn", Targets: 14, Slots: 6, Classes: []config.Class{
				{Name: "archive", PathPrefix: "/archive", Long: true},
				{Name: "list", PathPrefix: "/"},
			}},
		},
	}
}

// Galleries returns the deployment of the attendants' rota and payroll services.
func Galleries() Deployment {
	return Deployment{
		Name: "galleries", StoreRegion: "mtl", OneWay: interRegionLatency,
		LinkBytesPerSecond: threeHundredMbit, Hosts: entryHosts,
		Regions: []Region{
			{Name: "mtl", FailureDomains: []string{"mtl-1", "mtl-2"}, Block: "10.1.0.0/16"},
			{Name: "qc", FailureDomains: []string{"qc-1", "qc-2"}, Block: "10.2.0.0/16"},
			{Name: "gat", FailureDomains: []string{"gat-1", "gat-2"}, Block: "10.3.0.0/16"},
		},
		Services: []Service{
			{Name: "rota-desk", Targets: 20, Slots: 3, Classes: []config.Class{
				{Name: "export", PathPrefix: "/export", Long: true},
				{Name: "roster", PathPrefix: "/"},
			}},
			{Name: "paie-vault", Targets: 12, Slots: 3, Classes: []config.Class{
				{Name: "batch", PathPrefix: "/batch", Long: true},
				{Name: "file", PathPrefix: "/"},
			}},
		},
	}
}

// DeploymentByName returns the deployment with the given name.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Skiptidagur(), Galleries()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.Newf("deployment = %q: use skiptidagur or galleries", name)
}

// location is the region and failure domain of a host or target.
type location struct {
	region string
	domain string
}

// locationOf returns the location of the i-th host or target, spread evenly over
// regions and failure domains.
func (d *Deployment) locationOf(i int) location {
	region := d.Regions[i%len(d.Regions)]
	domain := region.FailureDomains[(i/len(d.Regions))%len(region.FailureDomains)]
	return location{region: region.Name, domain: domain}
}

func targetName(service string, i int) string { return fmt.Sprintf("%s-%02d", service, i+1) }

func hostName(i int) string { return fmt.Sprintf("h%d", i+1) }

// Callers returns the names of the callers' regions and the address blocks of their
// callers.
func (d *Deployment) Callers() (regions, blocks []string) {
	for _, r := range d.Regions {
		regions = append(regions, r.Name)
		blocks = append(blocks, r.Block)
	}
	return regions, blocks
}
