package main_test

import (
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/adapter/engine"
	"yuccausher/internal/caller"
	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// crashText is the text whose occurrence in an input crashes the target.
const crashText = "crash here"

// A request that has crashed two targets must not crash a third, even if it is
// repeated under another ID, at another host, in another program.
func TestRequestThatCrashedTwoTargetsCrashesNoThird(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	match := crashText
	f.inject(standin.FaultRequest{Kind: standin.FaultCrashOnMatch, Match: &match})
	for i, name := range []string{"first", "second", "third"} {
		f.crashTargets(f.open(name, i), i)
	}
	is.Equal(f.crashes(), uint64(2))
}

// crashTargets makes the call that crashes targets and retries it until it is
// refused as poisoned.
func (f *fleet) crashTargets(p *program, host int) {
	f.t.Helper()
	f.until("a refusal as poisoned", func() bool {
		_, err := f.caller.At(host).Call(f.ctx, p.id, p.crashCall())
		refusal, ok := fault.As(err)
		if !ok || (refusal.Type != fault.TargetFailed && refusal.Type != fault.Poisoned) {
			f.t.Fatalf("%s: %v", p.name, err)
		}
		return refusal.Type == fault.Poisoned
	})
}

// A request that was dispatched to a target may have run, even if a later
// attempt of the same request is refused before dispatch.
func TestRefusalOfADispatchedRequestIsNotNotRun(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	match := crashText
	f.inject(standin.FaultRequest{Kind: standin.FaultCrashOnMatch, Match: &match})
	p := f.open(t.Name(), 0)
	is.True(p != nil)
	f.crashTargets(p, 0)
	_, err := f.caller.At(1).Call(f.ctx, p.id, p.crashCall())
	refusal, ok := fault.As(err)
	is.True(ok)
	is.Equal(refusal.Type, fault.Poisoned)
	is.True(refusal.Run != fault.NotRun)
}

func (p *program) crashCall() caller.Call {
	return caller.Call{
		Seq:       p.next,
		RequestID: p.requestID(),
		Kind:      port.KindModel,
		Model:     standin.ModelSmall,
		MaxTokens: answerTokens,
		Input:     quoted(p.fleet, crashText),
	}
}

// crashes returns how often engines have restarted.
func (f *fleet) crashes() uint64 {
	f.t.Helper()
	var document config.Document
	if !f.get(f.hosts[0].base+"/v1/config", &document) {
		f.t.Fatal("no configuration")
	}
	client := engine.New()
	defer client.Close()
	var crashes uint64
	for _, target := range document.Targets {
		if target.Model == "" {
			continue
		}
		f.until("engine "+target.Name+" is up", func() bool {
			status, err := client.Status(f.ctx, port.Target{Name: target.Name, Address: target.Address})
			crashes += max(status.Incarnation, 1) - 1
			return err == nil
		})
	}
	return crashes
}
