// Command _lab2 has the stand-ins and the checks of the cases of review 2: a small deployment of the project's own programs,
// upstreams as processes of their own, and clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(record string, trouble bool) (int, error){"slow-read": slowRead, "no-length": noLength, "poison": poison, "readers-cut": readersCut, "reset-answer": resetAnswer}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "upstream" {
		fmt.Fprintln(os.Stderr, runUpstream(parseUpstream(os.Args[2:])))
		os.Exit(failed)
	}
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab2 CASE RECORD")
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		if running != nil {
			running.stop()
		}
		os.Exit(failed)
	}()
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	os.Exit(code)
}

// running is the deployment that is running.
var running *lab

func parseUpstream(args []string) upstreamOptions {
	var o upstreamOptions
	f := flag.NewFlagSet("upstream", flag.ExitOnError)
	f.StringVar(&o.id, "id", "", "")
	f.StringVar(&o.addr, "addr", "", "")
	f.IntVar(&o.slots, "slots", 6, "")
	f.DurationVar(&o.work, "work", 300*time.Millisecond, "")
	f.IntVar(&o.pieces, "pieces", 1, "")
	f.IntVar(&o.pauseEach, "pause-each", 0, "")
	f.DurationVar(&o.pause, "pause", 0, "")
	f.IntVar(&o.unframedEach, "unframed-each", 0, "")
	f.IntVar(&o.earlyEach, "early-each", 0, "")
	f.BoolVar(&o.resetEarly, "reset-early", false, "")
	_ = f.Parse(args)
	return o
}

// state is the desired state of the deployment.
const state = `{"version":1,"resources":[
{"resourceKind":"services","metadata":{"name":"skjalasafn"},"specification":{"healthPath":"/health","connectionLimit":390,"coldStart":"3s","coldPerS":50}},
{"resourceKind":"routes","metadata":{"name":"upload"},"specification":{"host":"skip.example","prefix":"/upload/","kind":"upload","timeout":"4000ms","fullCredit":"600ms","priority":0,"attempts":2,"service":"skjalasafn"}},
{"resourceKind":"routes","metadata":{"name":"safe"},"specification":{"host":"skip.example","prefix":"/safe/","kind":"safe","timeout":"4000ms","fullCredit":"600ms","priority":1,"attempts":2,"service":"skjalasafn"}},
{"resourceKind":"limits","metadata":{"name":"limits"},"specification":{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`
