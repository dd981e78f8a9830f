package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/fault"
)

func TestHelpAndInvalidCommands(t *testing.T) {
	cases := []struct {
		args []string
		code int
		text string
	}{
		{[]string{"-help"}, 0, "check-config"},
		{[]string{"serve", "-help"}, 0, "-peer-listen"},
		{[]string{}, 2, "serve"},
		{[]string{"no-such"}, 2, "serve"},
		{[]string{"ctl", "no-such"}, 2, "partitions"},
		{[]string{"check-config"}, 2, "FILE"},
	}
	for _, c := range cases {
		is := is.New(t)
		var out bytes.Buffer
		is.Equal(run(context.Background(), c.args, &out, &out), c.code)
		is.True(strings.Contains(out.String(), c.text))
	}
}

func TestServeRefusesInvalidSettings(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.Equal(run(context.Background(), []string{"serve", "-listen", "x", "-no-such", "y"}, &out, &out), 2)
}

func TestCheckConfigNamesInvalidFields(t *testing.T) {
	is := is.New(t)
	f := fault.New(fault.InvalidConfig, fault.NotRun, "wrong")
	f.Fields = []fault.Field{{Path: "targets[3].address", Message: "is missing"}, {Path: "firms", Message: "is empty"}}
	var out bytes.Buffer
	printConfigErrors(&out, "doc", f)
	is.Equal(out.String(), "doc: targets[3].address: is missing\ndoc: firms: is empty\n")

	file := filepath.Join(t.TempDir(), "doc.json")
	is.NoErr(os.WriteFile(file, []byte(`{"format":1,"colour":2}`), 0o600))
	is.Equal(run(context.Background(), []string{"check-config", file}, &out, &out), 1)
}

// host starts a fake of a host's operator API.
func host(t *testing.T) (*ctlSession, *bytes.Buffer, *http.Request) {
	got := &http.Request{}
	mux := http.NewServeMux()
	answer := func(pattern, body string) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			*got = *r
			w.Header().Set("ETag", `"7"`)
			_, _ = w.Write([]byte(body))
		})
	}
	answer("GET /v1/hosts", `{"hosts":[{"id":"10.0.0.1:1","data_centre":"salem","state":"alive","since_ms":1500,"client_address":"10.0.0.1:2","config_version":7}]}`)
	answer("GET /v1/targets", `{"targets":[{"name":"t","services":["a","b"],"state":"leaving","limit":3}]}`)
	answer("GET /v1/partitions", `{"partitions":[{"partition":5,"stream":"state-0","state":"owned","owner":"10.0.0.1:1","epoch":9,"programs":2}]}`)
	answer("GET /v1/config", `{"format":1}`)
	answer("POST /v1/drain", `{"state":"draining"}`)
	mux.HandleFunc("PUT /v1/config", func(w http.ResponseWriter, r *http.Request) {
		*got = *r
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = w.Write([]byte(`{"error":{"type":"invalid_config","message":"wrong","fields":[{"path":"firms","message":"is empty"}]}}`))
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	var out bytes.Buffer
	return &ctlSession{operator: newOperatorClient(strings.TrimPrefix(s.URL, "http://")), out: &out}, &out, got
}

func TestCtlPrintsTables(t *testing.T) {
	cases := map[string]string{
		"hosts":      "HOST        DATA CENTRE  STATE  SINCE  CALLERS     CONFIG  \n10.0.0.1:1  salem        alive  1.5s   10.0.0.1:2  7       \n",
		"targets":    "TARGET  DATA CENTRE  SERVES  STATE    RUNNING  LIMIT  REPORTED  QUEUED  KV TOKENS  \nt                    a,b     leaving  0        3      0         0       0          \n",
		"partitions": "PARTITION  STREAM   STATE  OWNER       EPOCH  PROGRAMS  \n5          state-0  owned  10.0.0.1:1  9      2         \n",
		"config get": "{\"format\":1}\n",
		"drain":      "planned stop has begun\n",
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, out, _ := host(t)
			is.NoErr(ctlCalls[name].run(s, context.Background()))
			is.Equal(out.String(), want)
		})
	}
}

func TestCtlPublishesOnTheVersionInEffect(t *testing.T) {
	is := is.New(t)
	s, _, got := host(t)
	file := filepath.Join(t.TempDir(), "doc.json")
	is.NoErr(os.WriteFile(file, []byte(`{}`), 0o600))
	s.args = []string{"config", "put", file}
	err := ctlCalls["config put"].run(s, context.Background())
	is.Equal(err.Error(), "invalid_config (422): wrong\nfirms: is empty")
	is.Equal(got.Header.Get("If-Match"), "7")
	s.base = "5"
	_ = ctlCalls["config put"].run(s, context.Background())
	is.Equal(got.Header.Get("If-Match"), "5")
}
