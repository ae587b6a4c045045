package entry

import (
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var evSettingsKept = eventlog.Define(1022, zerolog.WarnLevel, "changed settings apply after a restart")

// Settings are the settings of an entry host on the users' platform, in TOML.
// deploy/quetzald.toml is the template that the platform fills in.
type Settings struct {
	Host   HostSettings   `toml:"host"`
	Listen ListenSettings `toml:"listen"`
	Store  StoreSettings  `toml:"store"`
	Bounds BoundSettings  `toml:"bounds"`
	// Regions maps failure domains to regions.
	Regions map[string]string `toml:"regions"`
}

// HostSettings identify the host and state its resources.
type HostSettings struct {
	Name          string `toml:"name"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
	IP            string `toml:"ip"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s; 0 means unknown.
	LinkMbps float64 `toml:"link_mbps"`
	// CPUShare is the share of each of its Cores that the process gets; 0 means unknown.
	CPUShare float64 `toml:"cpu_share"`
	Cores    float64 `toml:"cores"`
	// MemoryMB is the memory of the process in megabytes, and FileDescriptors how many it may open; 0 means unknown.
	MemoryMB        float64 `toml:"memory_mb"`
	FileDescriptors float64 `toml:"file_descriptors"`
	// FirstStart is true when the whole system starts for the first time, so that the other
	// hosts may not be listed in the store yet.
	FirstStart bool `toml:"first_start"`
}

const (
	// typicalRequestBytes is the size of a typical request and its response on the link.
	typicalRequestBytes = 20_000
	// typicalRequestCPU is the CPU time that a typical request takes, in seconds.
	typicalRequestCPU = 0.0005
)

// Capacity returns how many requests a second the host can forward; 0 means unknown.
func (h *HostSettings) Capacity() float64 {
	link := h.LinkMbps * 1e6 / 8 / typicalRequestBytes
	cpu := h.CPUShare * max(1, h.Cores) / typicalRequestCPU
	if link == 0 || cpu == 0 {
		return max(link, cpu)
	}
	return min(link, cpu)
}

// ListenSettings are the addresses to listen on, each an IP address and port.
type ListenSettings struct {
	Entry     string `toml:"entry"`
	Ready     string `toml:"ready"`
	Directory string `toml:"directory"`
	// FirstPeerPort and LastPeerPort bound the ports for calls between hosts.
	FirstPeerPort uint16 `toml:"first_peer_port"`
	LastPeerPort  uint16 `toml:"last_peer_port"`
	// MetricsPort is the port that serves the metrics at /metrics. 0 disables it.
	MetricsPort uint16 `toml:"metrics_port"`
}

// StoreSettings say where the platform's store is.
type StoreSettings struct {
	Address string `toml:"address"`
}

// BoundSettings are the limits that the operators set.
type BoundSettings struct {
	Grace        Duration `toml:"grace"`
	RetryWindow  Duration `toml:"retry_window"`
	RetryRatio   float64  `toml:"retry_ratio"`
	RetryExtra   float64  `toml:"retry_extra"`
	LookupTTLMax Duration `toml:"lookup_ttl_max"`
	// Change is the time within which a change of the desired state must be in force.
	Change Duration `toml:"change"`
	// A cold target may get, from all hosts together, ColdOverrun times its service's limit
	// of requests a second for cold targets, plus ColdSlack requests.
	ColdOverrun float64 `toml:"cold_overrun"`
	ColdSlack   float64 `toml:"cold_slack"`
	// KeyRevocation is the time within which a revoked key must be rejected at all hosts, also those that cannot reach
	// the store. 0 means that there is no such bound.
	KeyRevocation Duration `toml:"key_revocation"`
	// In any QuotaWindow, a workspace may send what its rate limit allows, by QuotaOverrun (a part) more, and QuotaSlack
	// requests.
	QuotaWindow  Duration `toml:"quota_window"`
	QuotaOverrun float64  `toml:"quota_overrun"`
	QuotaSlack   float64  `toml:"quota_slack"`
}

// Duration is a duration in the settings, written as a number with its unit.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// Load reads and validates the settings file at path. The error names the file and the
// invalid field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse decodes and validates settings. Unknown fields are ignored.
func Parse(data []byte) (*Settings, error) {
	s := new(Settings)
	if err := toml.Unmarshal(data, s); err != nil {
		return nil, withPosition(err)
	}
	s.applyDefaults()
	return s, s.validate()
}

// withPosition adds the line and the field to an error of the TOML decoder.
func withPosition(err error) error {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return err
	}
	line, _ := decodeErr.Position()
	return errors.Wrapf(err, "line %d, field %q", line, strings.Join(decodeErr.Key(), "."))
}

// Defaults of BoundSettings.
const (
	defaultGrace        = 6 * time.Second
	defaultRetryWindow  = 10 * time.Second
	defaultLookupTTLMax = 5 * time.Second
	defaultChange       = 2500 * time.Millisecond
	defaultQuotaWindow  = 5 * time.Second
)

func (s *Settings) applyDefaults() {
	b := &s.Bounds
	setDefault(&b.Grace, defaultGrace)
	setDefault(&b.RetryWindow, defaultRetryWindow)
	setDefault(&b.LookupTTLMax, defaultLookupTTLMax)
	setDefault(&b.Change, defaultChange)
	setDefault(&b.QuotaWindow, defaultQuotaWindow)
	if b.ColdOverrun <= 0 {
		b.ColdOverrun = 1
	}
}

func setDefault(d *Duration, value time.Duration) {
	if *d <= 0 {
		*d = Duration(value)
	}
}

// keepStartSettings replaces the settings that are used only at the start of the process by
// those of the running process. It returns the names of those that differed.
func (s *Settings) keepStartSettings(running *Settings) []string {
	var changed []string
	changed = append(changed, keep("host", &s.Host, running.Host)...)
	changed = append(changed, keep("listen", &s.Listen, running.Listen)...)
	changed = append(changed, keep("store", &s.Store, running.Store)...)
	for _, b := range []struct {
		name        string
		read, inUse *float64
	}{
		{"bounds.quota_overrun", &s.Bounds.QuotaOverrun, &running.Bounds.QuotaOverrun},
		{"bounds.quota_slack", &s.Bounds.QuotaSlack, &running.Bounds.QuotaSlack},
	} {
		if *b.read != *b.inUse {
			changed = append(changed, b.name)
			*b.read = *b.inUse
		}
	}
	for _, b := range []struct {
		name        string
		read, inUse *Duration
	}{
		{"bounds.quota_window", &s.Bounds.QuotaWindow, &running.Bounds.QuotaWindow},
		{"bounds.retry_window", &s.Bounds.RetryWindow, &running.Bounds.RetryWindow},
		{"bounds.lookup_ttl_max", &s.Bounds.LookupTTLMax, &running.Bounds.LookupTTLMax},
	} {
		if *b.read != *b.inUse {
			changed = append(changed, b.name)
			*b.read = *b.inUse
		}
	}
	return changed
}

// keep sets a section of the settings to the one in use and returns the names of the fields
// that differed.
func keep[T any](section string, read *T, inUse T) []string {
	var changed []string
	was, is := reflect.ValueOf(inUse), reflect.ValueOf(*read)
	for i := range was.NumField() {
		if !was.Field(i).Equal(is.Field(i)) {
			changed = append(changed, section+"."+was.Type().Field(i).Tag.Get("toml"))
		}
	}
	*read = inUse
	return changed
}

func (s *Settings) validate() error {
	for _, field := range []struct{ name, value string }{
		{"listen.entry", s.Listen.Entry}, {"listen.ready", s.Listen.Ready},
		{"listen.directory", s.Listen.Directory}, {"store.address", s.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(field.value); err != nil {
			return errors.Newf("%s is %q, not an IP address and port", field.name, field.value)
		}
	}
	if _, err := netip.ParseAddr(s.Host.IP); err != nil {
		return errors.Newf("host.ip is %q, not an IP address", s.Host.IP)
	}
	if err := s.validateNumbers(); err != nil {
		return err
	}
	if s.Bounds.KeyRevocation < 0 {
		return errors.Newf("bounds.key_revocation is %v, which is negative", time.Duration(s.Bounds.KeyRevocation))
	}
	if s.Host.Name == "" || s.Host.Region == "" || s.Host.FailureDomain == "" {
		return errors.New("host.name, host.region and host.failure_domain must be set")
	}
	if s.Listen.FirstPeerPort == 0 || s.Listen.LastPeerPort < s.Listen.FirstPeerPort {
		return errors.Newf("listen.first_peer_port %d to last_peer_port %d is not a valid range", s.Listen.FirstPeerPort, s.Listen.LastPeerPort)
	}
	return nil
}

// maxNumber is the largest value of a number with a fraction in the settings.
const maxNumber = 1e12

func (s *Settings) validateNumbers() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"host.link_mbps", s.Host.LinkMbps}, {"host.cpu_share", s.Host.CPUShare}, {"host.cores", s.Host.Cores},
		{"host.memory_mb", s.Host.MemoryMB}, {"host.file_descriptors", s.Host.FileDescriptors},
		{"bounds.retry_ratio", s.Bounds.RetryRatio}, {"bounds.retry_extra", s.Bounds.RetryExtra},
		{"bounds.cold_overrun", s.Bounds.ColdOverrun}, {"bounds.cold_slack", s.Bounds.ColdSlack},
		{"bounds.quota_overrun", s.Bounds.QuotaOverrun}, {"bounds.quota_slack", s.Bounds.QuotaSlack},
	} {
		if !(field.value >= 0 && field.value <= maxNumber) {
			return errors.Newf("%s is %v, not a number from 0 to %v", field.name, field.value, maxNumber)
		}
	}
	return nil
}
