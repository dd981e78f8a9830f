package httpapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// HostView is one host as another sees it.
type HostView struct {
	ID            string           `json:"id"`
	DataCentre    string           `json:"data_centre"`
	Incarnation   uint64           `json:"incarnation"`
	ClientAddress string           `json:"client_address"`
	State         port.MemberState `json:"state"`
	ConfigVersion int64            `json:"config_version"`
	// SinceMS is how long the host has been in the state.
	SinceMS int64 `json:"since_ms"`
}

// HostsReply answers GET /v1/hosts.
type HostsReply struct {
	Hosts []HostView `json:"hosts"`
}

// TargetsReply answers GET /v1/targets.
type TargetsReply struct {
	Targets []port.TargetView `json:"targets"`
}

// PartitionsReply answers GET /v1/partitions.
type PartitionsReply struct {
	Partitions []port.PartitionView `json:"partitions"`
}

// VersionReply answers PUT /v1/config.
type VersionReply struct {
	Version int64 `json:"version"`
}

type stateReply struct {
	State string `json:"state"`
}

func (a *API) getHosts(c *gin.Context) {
	hosts := []HostView{}
	for _, m := range a.Operations.Hosts() {
		hosts = append(hosts, HostView{
			ID:            m.ID,
			DataCentre:    m.DataCentre,
			Incarnation:   m.Incarnation,
			ClientAddress: m.ClientAddress,
			State:         m.State,
			ConfigVersion: m.ConfigVersion,
			SinceMS:       time.Since(m.Since).Milliseconds(),
		})
	}
	a.write(c, http.StatusOK, HostsReply{Hosts: hosts})
}

func (a *API) getTargets(c *gin.Context) {
	targets := append([]port.TargetView{}, a.Operations.Targets()...)
	a.write(c, http.StatusOK, TargetsReply{Targets: targets})
}

func (a *API) getPartitions(c *gin.Context) {
	partitions := append([]port.PartitionView{}, a.Operations.Partitions()...)
	a.write(c, http.StatusOK, PartitionsReply{Partitions: partitions})
}

func (a *API) postDrain(c *gin.Context) {
	if err := a.Operations.Drain(c.Request.Context()); err != nil {
		a.refuse(c, err)
		return
	}
	a.write(c, http.StatusAccepted, stateReply{State: "draining"})
}

func (a *API) getHealth(c *gin.Context) {
	a.write(c, http.StatusOK, stateReply{State: "alive"})
}

func (a *API) getReady(c *gin.Context) {
	if err := a.Operations.Ready(); err != nil {
		f := fault.Of(err)
		a.write(c, http.StatusServiceUnavailable, bodyOf(f))
		return
	}
	a.write(c, http.StatusOK, stateReply{State: "ready"})
}

func (a *API) getConfig(c *gin.Context) {
	version, document, ok := a.Configuration.Current()
	if !ok {
		f := fault.New(fault.NotReady, fault.NotRun, "host has no configuration yet")
		a.refuse(c, f.WithRetryAfter(comeBack()))
		return
	}
	c.Header("ETag", tag(version))
	a.writeRaw(c, http.StatusOK, document)
}

func (a *API) putConfig(c *gin.Context) {
	base, f := parseTag(c.GetHeader("If-Match"))
	if f != nil {
		a.refuse(c, f)
		return
	}
	document, f := a.readBody(c, a.Limits.MaxDocumentBytes)
	if f != nil {
		a.refuse(c, f)
		return
	}
	version, err := a.Configuration.Publish(c.Request.Context(), base, document)
	if err != nil {
		a.refuse(c, err)
		return
	}
	c.Header("ETag", tag(version))
	a.write(c, http.StatusOK, VersionReply{Version: version})
}

func tag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

// parseTag returns the version in an If-Match header, quoted or not.
func parseTag(header string) (int64, *fault.Fault) {
	text := strings.Trim(strings.TrimSpace(header), `"`)
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0, invalid("If-Match must name the version that the document is based on, as in the ETag of GET /v1/config; 0 for the first")
	}
	return version, nil
}
