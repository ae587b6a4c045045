package scenario

import (
	"crypto/sha256"
	"fmt"
	"os"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdSumOf sets a variable to the SHA-256 of a file: sumof NAME FILE.
func cmdSumOf(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: sumof NAME FILE")
	}
	data, err := os.ReadFile(ts.MkAbs(args[1]))
	ts.Check(err)
	ts.Setenv(args[0], fmt.Sprintf("%x", sha256.Sum256(data)))
}
