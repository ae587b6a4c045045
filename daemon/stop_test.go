package daemon

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"quetzalknot/entry"
	"quetzalknot/platform/standin"
)

const (
	// testGrace is the grace period of the host of the test.
	testGrace = 4 * time.Second
	// startLimit bounds the wait for the host's start.
	startLimit = 10 * time.Second
)

// TestStopDuringReload: a reload that hangs, and more reloads than are noticed one by one,
// must not keep SIGTERM from ending the host within its grace period.
func TestStopDuringReload(t *testing.T) {
	path, addr := writeSettings(t)
	s, err := entry.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- runEntry(s, path) }()
	awaitListener(t, addr)
	replaceByPipe(t, path)
	for range 20 {
		sendSignal(t, syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond) // equal signals that are pending count as one
	}
	sendSignal(t, syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testGrace):
		t.Errorf("the host has not ended %v after SIGTERM", testGrace)
	}
}

// writeSettings writes the settings of a host whose store does not answer, and returns their
// path and the host's entry address.
func writeSettings(t *testing.T) (path, addr string) {
	t.Helper()
	ports, err := standin.FreePorts(5)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprint("127.0.0.1:", ports[0])
	text := fmt.Sprintf("[host]\nname = \"front-0\"\nregion = \"nordur\"\nfailure_domain = \"no-gler\"\nip = \"127.0.0.1\"\n"+
		"[listen]\nentry = %q\nready = \"127.0.0.1:%d\"\ndirectory = \"127.0.0.1:%d\"\nfirst_peer_port = %d\nlast_peer_port = 65535\n"+
		"[store]\naddress = \"127.0.0.1:%d\"\n[bounds]\ngrace = %q\nretry_ratio = 0.2\nretry_extra = 60.0\n[regions]\n\"no-gler\" = \"nordur\"\n",
		addr, ports[1], ports[2], ports[3], ports[4], testGrace)
	path = filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, addr
}

func awaitListener(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			_ = conn.Close()
			return
		}
	}
	t.Fatal("the host does not listen")
}

// replaceByPipe replaces a file by a named pipe that nobody writes, so that opening it hangs
// until the end of the test.
func replaceByPipe(t *testing.T, path string) {
	t.Helper()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if f, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			_ = f.Close()
		}
	})
}

func sendSignal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), sig); err != nil {
		t.Fatal(err)
	}
}
