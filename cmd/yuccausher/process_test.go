package main_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// binary is the command under test, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "yuccausher")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "yuccausher")
	build := exec.Command("go", "build", "-o", binary, ".")
	if text, err := build.CombinedOutput(); err != nil {
		panic(string(text))
	}
	return m.Run()
}

// process is a child process. Its output is shown if the test fails.
type process struct {
	name   string
	cmd    *exec.Cmd
	output lockedBuffer
	// ended is closed when the process has ended.
	ended chan struct{}
}

func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() { p.finish(t) })
	return p
}

// finish kills the process, even if it is frozen.
func (p *process) finish(t *testing.T) {
	p.kill()
	if t.Failed() {
		t.Logf("output of %s:\n%s", p.name, p.output.tail())
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// freeze suspends the process until thaw.
func (p *process) freeze(t *testing.T) { p.signal(t, syscall.SIGSTOP) }

func (p *process) thaw(t *testing.T) { p.signal(t, syscall.SIGCONT) }

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// tailBytes is the number of bytes of a process's output that are logged.
const tailBytes = 4000

// lockedBuffer is a buffer that a process writes and a test reads.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(data)
}

func (b *lockedBuffer) tail() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	data := b.buf.Bytes()
	return string(data[max(0, len(data)-tailBytes):])
}
