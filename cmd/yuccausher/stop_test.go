package main_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/caller"
	"yuccausher/internal/dev"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
	"yuccausher/internal/testutil"
)

const (
	streamsInFlight = 6
	// longAnswer is a maximum of output tokens that keeps a stream open while the
	// host stops.
	longAnswer = 64
)

func TestPlannedStopInterruptsNoStream(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	stopping := f.hosts[1]
	var begun, ended sync.WaitGroup
	for i := range streamsInFlight {
		p := f.open("stream-"+strconv.Itoa(i), i%hostCount)
		is.True(p != nil)
		begun.Add(1)
		first := sync.OnceFunc(begun.Done)
		ended.Go(func() {
			defer first()
			f.streamOnce(p, 1, first)
		})
	}
	begun.Wait()
	stopping.signal(t, syscall.SIGTERM)
	ended.Wait()
	<-stopping.ended
	is.Equal(stopping.cmd.ProcessState.ExitCode(), 0)
}

// streamOnce makes a streamed call through one host only. It fails the test if
// the stream is interrupted, which would show as repeated text.
func (f *fleet) streamOnce(p *program, host int, first func()) {
	f.t.Helper()
	var text strings.Builder
	alone := caller.New(f.hosts[host].base)
	defer alone.Close()
	answer, err := alone.Stream(f.ctx, p.id, caller.Call{
		Seq:       p.next,
		RequestID: p.requestID(),
		Kind:      port.KindModel,
		Model:     standin.ModelLarge,
		MaxTokens: longAnswer,
		Input:     quoted(f, p.name),
	}, func(piece string) {
		text.WriteString(piece)
		first()
	})
	if err != nil {
		f.t.Errorf("%s: %v", p.name, err)
		return
	}
	if got := string(quoted(f, text.String())); got != string(answer.Output) {
		f.t.Errorf("%s: streamed %s, complete answer %s", p.name, got, answer.Output)
	}
}

func TestStandinRefusesFaultsOfOtherProcesses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	host := 0
	request := standin.FaultRequest{Kind: standin.FaultHostKill, Host: &host}
	status, body, err := f.http.Do(f.ctx, http.MethodPost, f.control+standin.PathFaults, request)
	is.NoErr(err)
	is.Equal(status, http.StatusBadRequest)
	is.True(strings.Contains(string(body), "signal the process"))
}

// startDev runs "dev" on free ports and returns its base port.
func startDev(t *testing.T, hosts int) (*process, int) {
	t.Helper()
	for range startAttempts {
		base := testutil.FreePorts(t, dev.Ports)
		p := startProcess(t, "dev", "dev", "-hosts", strconv.Itoa(hosts), "-port", strconv.Itoa(base), "-log-level", "error")
		for !p.hasEnded() {
			if strings.Contains(p.output.tail(), "dev is ready") {
				return p, base
			}
			<-tick()
		}
	}
	t.Fatal("dev did not start")
	return nil, 0
}

func TestDevKillsAndPausesItsHosts(t *testing.T) {
	is := is.New(t)
	process, base := startDev(t, hostCount)
	address := func(offset int) string { return "http://127.0.0.1:" + strconv.Itoa(base+offset) }
	f := newFleet(t, address(100), []string{address(0), address(1), address(2)})
	p := f.open("dev", 0)
	is.True(p != nil)
	p.post(0)
	killed, paused, brief := 0, 1, int64(1500)
	f.inject(standin.FaultRequest{Kind: standin.FaultHostKill, Host: &killed})
	p.ask(1)
	f.inject(standin.FaultRequest{Kind: standin.FaultHostPause, Host: &paused, DurationMS: &brief})
	p.post(2)
	p.ask(1)
	f.checkAll([]*program{p}, []int{1, 2})
	again := standin.FaultRequest{Kind: standin.FaultHostKill, Host: &killed}
	err := f.http.CallTarget(f.ctx, "dev", http.MethodPost, f.control+standin.PathFaults, again, nil)
	is.True(err != nil) // it is already dead
	_, _, err = httpcall.New().Do(f.ctx, http.MethodGet, address(0)+"/healthz", nil)
	is.True(err != nil) // nothing listens there
	process.signal(t, syscall.SIGTERM)
	<-process.ended
	is.Equal(process.cmd.ProcessState.ExitCode(), 0)
}
