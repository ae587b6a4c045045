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

// Settings holds all settings of one process.
type Settings struct {
	Host     Host     `toml:"host"`
	Listen   Listen   `toml:"listen"`
	Roles    Roles    `toml:"roles"`
	Platform Platform `toml:"platform"`
	Topology Topology `toml:"topology"`
	Limits   Limits   `toml:"limits"`
	Claims   Claims   `toml:"claims"`
	Stop     Stop     `toml:"stop"`
	Peer     Peer     `toml:"peer"`
	Lookup   Lookup   `toml:"lookup"`
	Links    Links    `toml:"links"`
}

// Host identifies the host and its location.
type Host struct {
	// Name is unique among the entry hosts.
	Name string `toml:"name"`
	// Region and FailureDomain must be in the topology, if one is given.
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
}

// Listen holds the addresses that the process listens on, each an IP address and port.
type Listen struct {
	// API serves look-ups and the HTTP API for operators and programs.
	API string `toml:"api"`
	// Forward serves callers' requests.
	Forward string `toml:"forward"`
	// Peer serves RPC calls of other hosts.
	Peer string `toml:"peer"`
}

// Roles selects the functions that the process performs. If none is set, all are on.
type Roles struct {
	Lookup  bool `toml:"lookup"`
	Forward bool `toml:"forward"`
	Watch   bool `toml:"watch"`
}

// Platform configures the connection to the platform. Without a URL, the process uses an
// in-memory platform of its own.
type Platform struct {
	// URL is the base URL of the platform's HTTP API with an IP address and port, such as
	// http://127.0.0.1:7000.
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
	// applyDefaults sets the fields that the file does not set.
	applyDefaults()
	// check adds a problem for each invalid value.
	check(p *problems)
}

// sections lists the tables in the order in which they are checked.
func (s *Settings) sections() []section {
	return []section{
		&s.Host, &s.Listen, &s.Roles, &s.Platform, &s.Topology, &s.Peer,
		&s.Limits, &s.Claims, &s.Stop, &s.Lookup, &s.Links,
	}
}

// Load reads and checks a settings file. If the content is invalid, the error is an
// *Error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse decodes and checks settings. The error is an *Error that lists every problem
// found; file is the file name in its messages.
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
	err := s.ApplyDefaultsAndCheck()
	var invalid *Error
	if errors.As(err, &invalid) {
		invalid.File = file
		lines := locateKeys(data)
		for i := range invalid.Problems {
			invalid.Problems[i].Line = lines.line(invalid.Problems[i].Key)
		}
	}
	if err != nil {
		return nil, err
	}
	return &s, nil
}

// ApplyDefaultsAndCheck sets the defaults and checks every section. The error is an *Error
// that lists every problem found.
func (s *Settings) ApplyDefaultsAndCheck() error {
	p := &problems{}
	for _, sec := range s.sections() {
		sec.applyDefaults()
	}
	for _, sec := range s.sections() {
		sec.check(p)
	}
	s.checkTopologyMembership(p)
	return p.err()
}
