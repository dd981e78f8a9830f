package cli

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/fault"
	"yuccausher/internal/settings"
)

// Each setting and each fault type must be on the operators' page.
func TestOperatorsPageIsComplete(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.New(t).NoErr(err)
	page := string(data)
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	settings.NewServe(flags)
	front := flag.NewFlagSet("front", flag.ContinueOnError)
	settings.NewFront(front)
	front.VisitAll(func(f *flag.Flag) {
		if !strings.Contains(page, "| `-"+f.Name+"` |") {
			t.Errorf("setting -%s of front is not on the page", f.Name)
		}
	})
	flags.VisitAll(func(f *flag.Flag) {
		if !strings.Contains(page, "`-"+f.Name+"`") {
			t.Errorf("setting -%s is not on the page", f.Name)
		}
	})
	for _, typ := range fault.Types {
		if !strings.Contains(page, "| `"+string(typ)+"` |") {
			t.Errorf("refusal %s is not on the page", typ)
		}
	}
}
