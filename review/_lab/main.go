package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

func bytesReader(s string) io.Reader { return strings.NewReader(s) }

// cases are the cases that are scripts, by the name that their run.sh gives.
var cases = map[string]func(program, record string, trouble bool) int{
	"forgotten-crashes": forgottenCrashes,
	"stop-queued":       stopQueued,
	"cold-unseen":       coldUnseen,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE with|without PROGRAM RECORD")
		os.Exit(notRun)
	}
	program, err := filepath.Abs(os.Args[3])
	if err != nil {
		os.Exit(notRun)
	}
	os.Exit(cases[os.Args[1]](program, os.Args[4], os.Args[2] != "without"))
}
