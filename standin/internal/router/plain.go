package router

import (
	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/standin/internal/answer"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
)

// call runs a call of the plain service. Every path exists; POST /filings and
// GET /status/{id} are those that the examples use.
func (h *Handler) call(c *gin.Context) {
	body, ok := readBody(c)
	if !ok {
		return
	}
	whole := answer.Plain(c.Request.Method, c.Request.URL.Path, body)
	h.start(c, body, engine.Job{
		Answer:     engine.Answer{ContentType: "application/json", Size: len(whole)},
		FirstDelay: h.cfg.ServiceTime,
		Parts:      1,
		Part:       func(int) string { return whole },
	})
}
