package settings

import "fmt"

// DefaultPerCaller is the default of Lookup.PerCaller, in look-ups a second.
const DefaultPerCaller = 200

// Lookup configures the answers to callers' look-ups.
type Lookup struct {
	// PerCaller bounds the look-ups a second from one IP address. Default 200.
	PerCaller float64 `toml:"per_caller"`
	// Latencies lists the one-way latencies between regions. Each applies in both
	// directions.
	Latencies []Latency `toml:"latency"`
}

// Latency is the one-way latency between two regions.
type Latency struct {
	From string `toml:"from"`
	To   string `toml:"to"`
	// OneWayMS is the latency in milliseconds.
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
		prefix := fmt.Sprintf("lookup.latency[%d]", i)
		p.require(latency.From != "", prefix+".from", latency.From, "a region")
		p.require(latency.To != "" && latency.To != latency.From, prefix+".to", latency.To, "a region other than from")
		p.require(latency.OneWayMS >= 0, prefix+".one_way_ms", latency.OneWayMS, "milliseconds, 0 or more")
	}
}
