package settings

import "fmt"

// DefaultPerCaller is the number of look-ups a second that one address may make.
const DefaultPerCaller = 200

// Lookup configures the answers to callers' look-ups.
type Lookup struct {
	// PerCaller bounds the look-ups a second of one address. Default 200.
	PerCaller float64 `toml:"per_caller"`
	// Latencies are the one-way latencies between regions; each holds both ways.
	Latencies []Latency `toml:"latency"`
}

// Latency is the one-way latency between two regions.
type Latency struct {
	From string `toml:"from"`
	To   string `toml:"to"`
	// OneWayMS is in milliseconds.
	OneWayMS float64 `toml:"one_way_ms"`
}

func (l *Lookup) applyDefaults() {
	if l.PerCaller == 0 {
		l.PerCaller = DefaultPerCaller
	}
}

func (l *Lookup) check(p *problems) {
	p.require(l.PerCaller > 0, "lookup.per_caller", l.PerCaller, "look-ups a second, more than 0")
	for i, latency := range l.Latencies {
		at := fmt.Sprintf("lookup.latency[%d]", i)
		p.require(latency.From != "", at+".from", latency.From, "a region")
		p.require(latency.To != "" && latency.To != latency.From, at+".to", latency.To, "a region other than from")
		p.require(latency.OneWayMS >= 0, at+".one_way_ms", latency.OneWayMS, "milliseconds, 0 or more")
	}
}
