package standin

import (
	"github.com/gin-gonic/gin"

	"yuccausher/internal/adapter/service"
	"yuccausher/internal/port"
)

const pathServices = "/services"

func (s *Server) routeServices(router *gin.Engine) {
	group := router.Group(pathServices + "/:" + paramName)
	group.POST(service.PathInvoke, s.invoke)
	group.GET(service.PathOutcome, s.outcome)
}

// service returns the service that the path names, or breaks the connection.
func (s *Server) service(c *gin.Context) *Service {
	found := s.platform.Fleet.Service(c.Param(paramName))
	if found == nil {
		breakConnection()
	}
	return found
}

func (s *Server) invoke(c *gin.Context) {
	target := s.service(c)
	var request service.InvokeRequest
	if err := decode(c, &request); err != nil {
		answer(c, nil, err)
		return
	}
	result, err := target.Invoke(c.Request.Context(), port.ServiceCall{
		ProgramID: request.ProgramID,
		Seq:       request.Seq,
		RequestID: request.RequestID,
		Service:   request.Service,
		Operation: request.Operation,
		Input:     request.Input,
	})
	answer(c, service.InvokeAnswer{RequestID: result.RequestID, Output: result.Output}, err)
}

func (s *Server) outcome(c *gin.Context) {
	name, request := c.Query(service.ParamService), c.Query(service.ParamRequest)
	result, ran, known, err := s.service(c).Outcome(c.Request.Context(), name, request)
	answer(c, service.OutcomeAnswer{
		Known:     known,
		Ran:       ran,
		RequestID: result.RequestID,
		Output:    result.Output,
	}, err)
}
