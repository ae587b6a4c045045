// Package settings reads the TOML settings of a quetzald process.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Settings are all settings of one process.
type Settings struct {
	Host     Host     `toml:"host"`
	Listen   Listen   `toml:"listen"`
	Roles    Roles    `toml:"roles"`
	Platform Platform `toml:"platform"`
	Topology Topology `toml:"topology"`
}

// Host says which host this is and where it stands.
type Host struct {
	// Name is unique among the entry hosts.
	Name string `toml:"name"`
	// Region and FailureDomain must stand in the topology, when one is given.
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
}

// Listen holds IP addresses with ports.
type Listen struct {
	// API serves look-ups, operators and machines.
	API string `toml:"api"`
	// Forward serves callers' requests.
	Forward string `toml:"forward"`
	// Peer serves net/rpc to other hosts.
	Peer string `toml:"peer"`
}

// Roles switches the duties of the process. With none set, all are on.
type Roles struct {
	Lookup  bool `toml:"lookup"`
	Forward bool `toml:"forward"`
	Watch   bool `toml:"watch"`
}

// Platform says how to reach the platform. With no URL, an in-memory platform
// of this one process is used.
type Platform struct {
	// URL is the base of the platform's HTTP protocol, by IP address, such as http://127.0.0.1:7000.
	URL string `toml:"url"`
}

// Topology lists the regions and their failure domains.
type Topology struct {
	Regions []Region `toml:"region"`
}

// Region is a group of failure domains.
type Region struct {
	Name           string   `toml:"name"`
	FailureDomains []string `toml:"failure_domains"`
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse reads and checks settings.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	return &s, s.check()
}

func (s *Settings) applyDefaults() {
	if s.Roles == (Roles{}) {
		s.Roles = Roles{Lookup: true, Forward: true, Watch: true}
	}
}

func (s *Settings) check() error {
	if s.Host.Name == "" {
		return errors.New("host.name is empty: give the host's name")
	}
	for key, addr := range map[string]string{"listen.api": s.Listen.API, "listen.forward": s.Listen.Forward, "listen.peer": s.Listen.Peer} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("%s = %q: give an IP address and port", key, addr)
		}
	}
	return nil
}
