package server

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/answer"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
)

const eventStream = "text/event-stream"

// completeChat executes a chat completion. The answer takes one part per token: streamed,
// each part is an event; otherwise the last part is the body and the others are empty.
func (h *Handler) completeChat(c *gin.Context) {
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
		Prefix:         fleet.PromptPrefix(body),
		FirstPartDelay: h.cfg.FirstToken,
		PartDelay:      h.cfg.TokenInterval,
		PartCount:      req.Tokens(),
	}
	if req.Stream {
		job = streamedJob(job, req)
	} else {
		job = unaryJob(job, req)
	}
	h.startJob(c, body, job)
}

func streamedJob(job engine.Job, req answer.Completion) engine.Job {
	last := job.PartCount - 1
	job.Answer = engine.Answer{ContentType: eventStream, Streamed: true, Size: len(req.StreamBody())}
	job.Part = func(i int) string {
		if i == last {
			return req.Event(i) + answer.DoneEvent
		}
		return req.Event(i)
	}
	return job
}

func unaryJob(job engine.Job, req answer.Completion) engine.Job {
	last := job.PartCount - 1
	answerBody := req.UnaryBody()
	job.Answer = engine.Answer{ContentType: "application/json", Size: len(answerBody)}
	job.Part = func(i int) string {
		if i == last {
			return answerBody
		}
		return ""
	}
	return job
}
