package router

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/answer"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
)

const eventStream = "text/event-stream"

// complete runs a chat completion: one part per token, streamed or whole at the end.
func (h *Handler) complete(c *gin.Context) {
	body, ok := readBody(c)
	if !ok {
		return
	}
	req, err := answer.ParseCompletion(body)
	if err != nil {
		c.String(http.StatusBadRequest, "%v\n", err)
		return
	}
	job := engine.Job{
		Prefix:     fleet.PromptPrefix(body),
		FirstDelay: h.cfg.FirstToken,
		Delay:      h.cfg.TokenInterval,
		Parts:      req.Tokens(),
	}
	if req.Stream {
		job = streamed(job, req)
	} else {
		job = unary(job, req)
	}
	h.start(c, body, job)
}

func streamed(job engine.Job, req answer.Completion) engine.Job {
	last := job.Parts - 1
	job.Answer = engine.Answer{ContentType: eventStream, Streamed: true, Size: len(req.StreamBody())}
	job.Part = func(i int) string {
		if i == last {
			return req.Event(i) + answer.Done
		}
		return req.Event(i)
	}
	return job
}

func unary(job engine.Job, req answer.Completion) engine.Job {
	last := job.Parts - 1
	whole := req.UnaryBody()
	job.Answer = engine.Answer{ContentType: "application/json", Size: len(whole)}
	job.Part = func(i int) string {
		if i == last {
			return whole
		}
		return ""
	}
	return job
}
