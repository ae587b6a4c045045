// Package settings reads the TOML settings of a quetzald process.
package settings

import (
	"bytes"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// MaxBytes is the largest accepted settings file, in bytes.
const MaxBytes = 1 << 20

// Settings are all settings of one process.
type Settings struct {
	Host     Host     `toml:"host"`
	Listen   Listen   `toml:"listen"`
	Roles    Roles    `toml:"roles"`
	Platform Platform `toml:"platform"`
	Topology Topology `toml:"topology"`
	Peer     Peer     `toml:"peer"`
	Lookup   Lookup   `toml:"lookup"`
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

// section is one table of the settings file.
type section interface {
	// applyDefaults fills in what the file leaves out.
	applyDefaults()
	// check adds a problem for each bad value.
	check(p *problems)
}

// sections lists the tables in the order in which they are checked.
func (s *Settings) sections() []section {
	return []section{&s.Host, &s.Listen, &s.Roles, &s.Platform, &s.Topology, &s.Peer, &s.Lookup}
}

// Load reads and checks a settings file. A bad file gives an *Error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse reads and checks settings. The error is an *Error that lists every
// problem found; file stands before each line number.
func Parse(file string, data []byte) (*Settings, error) {
	if len(data) > MaxBytes {
		return nil, &Error{File: file, Problems: []Problem{{
			Key: "size", Value: strconv.Itoa(len(data)), Allowed: "at most " + strconv.Itoa(MaxBytes) + " bytes",
		}}}
	}
	var s Settings
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&s); err != nil {
		return nil, decodeError(file, data, err)
	}
	err := s.Complete()
	var bad *Error
	if errors.As(err, &bad) {
		bad.File = file
		lines := locate(data)
		for i := range bad.Problems {
			bad.Problems[i].Line = lines.line(bad.Problems[i].Key)
		}
	}
	if err != nil {
		return nil, err
	}
	return &s, nil
}

// Complete fills in the defaults and checks every section. The error is an
// *Error that lists every problem found.
func (s *Settings) Complete() error {
	p := &problems{}
	for _, sec := range s.sections() {
		sec.applyDefaults()
	}
	for _, sec := range s.sections() {
		sec.check(p)
	}
	s.checkPlace(p)
	return p.err()
}
