package server

import (
	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/standin/internal/answer"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
)

// callPlain executes a call of the plain service. It accepts every method and path; the
// examples use POST /filings and GET /status/{id}.
func (h *Handler) callPlain(c *gin.Context) {
	body, ok := readBody(c)
	if !ok {
		return
	}
	answerBody := answer.PlainBody(c.Request.Method, c.Request.URL.Path, body)
	h.startJob(c, body, engine.Job{
		Answer:         engine.Answer{ContentType: "application/json", Size: len(answerBody)},
		FirstPartDelay: h.cfg.ServiceTime,
		PartCount:      1,
		Part:           func(int) string { return answerBody },
	})
}
