package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"yuccausher/internal/adapter/httpapi"
)

func (s *ctlSession) hosts(ctx context.Context) error {
	var reply httpapi.HostsReply
	if err := s.operator.read(ctx, "/v1/hosts", &reply); err != nil {
		return err
	}
	t := newTable(s.out, "HOST", "DATA CENTRE", "STATE", "SINCE", "CALLERS", "CONFIG")
	for _, h := range reply.Hosts {
		t.row(h.ID, h.DataCentre, h.State, seconds(h.SinceMS), h.ClientAddress, h.ConfigVersion)
	}
	return t.flush()
}

func (s *ctlSession) targets(ctx context.Context) error {
	var reply httpapi.TargetsReply
	if err := s.operator.read(ctx, "/v1/targets", &reply); err != nil {
		return err
	}
	t := newTable(s.out, "TARGET", "DATA CENTRE", "SERVES", "STATE", "RUNNING", "LIMIT", "REPORTED", "QUEUED", "KV TOKENS")
	for _, v := range reply.Targets {
		serves := v.Model
		if serves == "" {
			serves = strings.Join(v.Services, ",")
		}
		t.row(v.Name, v.DataCentre, serves, v.State, v.Running, v.Limit, v.ReportedRunning, v.ReportedQueued, v.KVTokens)
	}
	return t.flush()
}

func (s *ctlSession) partitions(ctx context.Context) error {
	var reply httpapi.PartitionsReply
	if err := s.operator.read(ctx, "/v1/partitions", &reply); err != nil {
		return err
	}
	t := newTable(s.out, "PARTITION", "STREAM", "STATE", "OWNER", "EPOCH", "PROGRAMS")
	for _, p := range reply.Partitions {
		t.row(p.Partition, p.Stream, p.State, p.Owner, p.Epoch, p.Programs)
	}
	return t.flush()
}

func (s *ctlSession) getConfig(ctx context.Context) error {
	document, version, err := s.operator.config(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "version", version)
	_, err = s.out.Write(append(document, '\n'))
	return err
}

func (s *ctlSession) putConfig(ctx context.Context) error {
	document, err := os.ReadFile(s.args[2])
	if err != nil {
		return err
	}
	base := s.base
	if base == "" {
		if _, base, err = s.operator.config(ctx); err != nil {
			return err
		}
	}
	header := http.Header{"If-Match": {base}}
	data, _, err := s.operator.call(ctx, http.MethodPut, "/v1/config", header, document)
	if err != nil {
		return err
	}
	var reply httpapi.VersionReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, "version", reply.Version, "is published")
	return err
}

func (s *ctlSession) drain(ctx context.Context) error {
	if _, _, err := s.operator.call(ctx, http.MethodPost, "/v1/drain", nil, nil); err != nil {
		return err
	}
	_, err := fmt.Fprintln(s.out, "planned stop has begun")
	return err
}

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(out io.Writer, heads ...any) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.row(heads...)
	return t
}

func (t *table) row(cells ...any) {
	for _, c := range cells {
		fmt.Fprint(t.w, c, "\t")
	}
	fmt.Fprintln(t.w)
}

func (t *table) flush() error { return t.w.Flush() }

func seconds(ms int64) string { return fmt.Sprintf("%.1fs", float64(ms)/1000) }
