package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"

	"yuccausher/internal/adapter/platformlog"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

const (
	paramStream = "stream"
	// maxWait bounds a read that waits.
	maxWait = time.Minute
)

func (s *Server) routeLog(router *gin.Engine) {
	path := platformlog.PathStreams + ":" + paramStream
	router.POST(path, s.append)
	router.GET(path, s.read)
}

func (s *Server) append(c *gin.Context) {
	var request platformlog.AppendRequest
	if err := decode(c, &request); err != nil {
		answer(c, nil, err)
		return
	}
	offset, err := s.platform.Log.Append(c.Request.Context(), c.Param(paramStream), request.Records)
	if err != nil {
		writeLogError(c, err)
		return
	}
	c.JSON(http.StatusOK, platformlog.AppendAnswer{Offset: offset})
}

func (s *Server) read(c *gin.Context) {
	from, fromErr := strconv.ParseInt(c.Query(platformlog.ParamFrom), 10, 64)
	wait, waitErr := strconv.ParseInt(c.Query(platformlog.ParamWait), 10, 64)
	if fromErr != nil || waitErr != nil {
		answer(c, nil, fault.New(fault.InvalidRequest, fault.NotRun, "%s and %s must be numbers", platformlog.ParamFrom, platformlog.ParamWait))
		return
	}
	bound := min(time.Duration(wait)*time.Millisecond, maxWait)
	page, err := s.platform.Log.Read(c.Request.Context(), c.Param(paramStream), from, bound)
	if err != nil {
		writeLogError(c, err)
		return
	}
	c.JSON(http.StatusOK, page)
}

// writeLogError answers as the log service does: an append that may have
// taken effect gets no answer.
func writeLogError(c *gin.Context, err error) {
	var failed *port.LogError
	if !errors.As(err, &failed) || failed.Ambiguous {
		breakConnection()
		return
	}
	status := http.StatusServiceUnavailable
	switch {
	case failed.RateLimited:
		status = http.StatusTooManyRequests
	case errors.Is(err, ReasonNoRecords):
		status = http.StatusBadRequest
	}
	c.JSON(status, platformlog.Refusal{Message: err.Error()})
}
