package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"

	"yuccausher/internal/port"
)

const (
	// pageItems is the most newest records that one answer carries.
	pageItems = 500
	// maxCallBytes bounds the records of one append.
	maxCallBytes = 2 << 20
)

// HostHeader names the calling host, so that faults can be set for it. Callers
// without it are told apart by their IP address.
const HostHeader = "Standin-Host"

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.POST("/api/log-append", s.serveAppend)
	router.GET("/api/log-read", s.serveRead)
	router.GET("/api/log-newest", s.serveNewest)
	return router
}

// asked returns the caller's view of the store and the partition it asks for.
func (s *Store) asked(c *gin.Context) (*Client, port.Partition, bool) {
	part, err := strconv.Atoi(c.Query("part"))
	if err != nil || c.Query("topic") == "" {
		c.JSON(http.StatusBadRequest, gin.H{"err": "topic and part are needed"})
		return nil, port.Partition{}, false
	}
	host := c.GetHeader(HostHeader)
	if host == "" {
		host = c.RemoteIP()
	}
	return s.Client(host), port.Partition{Topic: c.Query("topic"), Part: part}, true
}

func (s *Store) serveAppend(c *gin.Context) {
	client, p, ok := s.asked(c)
	if !ok {
		return
	}
	data, err := io.ReadAll(io.LimitReader(c.Request.Body, maxCallBytes))
	if err != nil {
		answerError(c, err)
		return
	}
	var records [][]byte
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if len(data) < 4+n {
			break
		}
		records = append(records, data[4:4+n])
		data = data[4+n:]
	}
	offset, err := client.Append(c.Request.Context(), p, records)
	if err != nil {
		answerError(c, err)
		return
	}
	c.JSON(http.StatusOK, gin.H{"offset": offset, "end": offset + int64(len(records))})
}

func (s *Store) serveRead(c *gin.Context) {
	client, p, ok := s.asked(c)
	if !ok {
		return
	}
	from, err := strconv.ParseInt(c.Query("from"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"err": "from is needed"})
		return
	}
	wait, err := strconv.ParseInt(c.DefaultQuery("wait_ms", "0"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"err": "wait_ms is no number"})
		return
	}
	maxKB, err := strconv.Atoi(c.DefaultQuery("max_kb", "1024"))
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"err": "max_kb is no number"})
		return
	}
	page, err := client.Read(c.Request.Context(), p, port.Range{From: from, MaxBytes: maxKB << 10, Wait: time.Duration(wait) * time.Millisecond})
	if err != nil {
		answerError(c, err)
		return
	}
	c.Data(http.StatusOK, "application/octet-stream", encodePage(page))
}

func (s *Store) serveNewest(c *gin.Context) {
	client, p, ok := s.asked(c)
	if !ok {
		return
	}
	records, end, err := client.Newest(c.Request.Context(), p)
	if err != nil {
		answerError(c, err)
		return
	}
	after := c.Query("after")
	items := make([]gin.H, 0, pageItems)
	hasMore := false
	for _, r := range records {
		if r.Key <= after {
			continue
		}
		if len(items) == pageItems {
			hasMore = true
			break
		}
		items = append(items, gin.H{"key": r.Key, "value": base64.StdEncoding.EncodeToString(r.Value), "offset": r.Offset})
	}
	c.JSON(http.StatusOK, gin.H{"items": items, "has_more": hasMore, "end": end})
}

// answerError answers a failure. Calls without an answer close the connection.
func answerError(c *gin.Context, err error) {
	var failed *port.SharedLogError
	if !errors.As(err, &failed) {
		c.JSON(http.StatusBadRequest, gin.H{"err": err.Error()})
		return
	}
	switch failed.Failure {
	case port.LogTrimmed:
		c.JSON(http.StatusGone, gin.H{"first": failed.Oldest})
	case port.LogRefused:
		c.JSON(http.StatusServiceUnavailable, gin.H{"err": "unavailable"})
	default:
		panic(http.ErrAbortHandler)
	}
}
