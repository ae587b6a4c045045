// Package scenario tests complete clusters, with the scripts in testdata and with Go
// tests.
package scenario

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"quetzalknot/daemon"
	"quetzalknot/tools/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"quetzald":   func() { os.Exit(daemon.Main()) },
		"quetzalctl": func() { os.Exit(cli.Main()) },
	})
}

var scriptCount atomic.Uint32

// TestScenarios runs each script with loopback addresses of its own, so that its
// fixed ports do not conflict with those of another script or test process.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			pid := os.Getpid()
			env.Values[scriptStateKey{}] = &scriptState{}
			env.Setenv("NET", fmt.Sprintf("127.%d.%d", 1+scriptCount.Add(1), 1+pid%250))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"subst": cmdSubst,
			"fetch": cmdFetch,
			"sumof": cmdSumOf,

			"deploy":  cmdDeploy,
			"load":    cmdLoad,
			"fault":   cmdFault,
			"host":    cmdHost,
			"ticket":  cmdTicket,
			"pause":   cmdPause,
			"send":    cmdSend,
			"crashes": cmdCrashes,
			"expect":  cmdExpect,
			"idle":    cmdIdle,
			"hold":    cmdHold,
			"held":    cmdHeld,
			"signal":  cmdSignal,

			"post":       cmdPost,
			"eventually": cmdEventually,
		},
	})
}
