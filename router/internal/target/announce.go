package target

import (
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

const (
	// maxAnnouncement is the largest announcement that is accepted, in bytes.
	maxAnnouncement = 1 << 20
	// announceTimeout bounds reading one announcement, and writing its response.
	announceTimeout = 5 * time.Second
	// announceIdleTimeout is how long an idle connection of a target is kept.
	announceIdleTimeout = 30 * time.Second
)

// Poster passes events to the reducer.
type Poster interface {
	Post(ev fleet.Event)
}

// NewAnnounceServer returns the server to which targets announce themselves. POST
// /v1/targets takes one fleet.Announcement in JSON and responds with 204.
func NewAnnounceServer(events Poster) *http.Server {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.POST("/v1/targets", func(c *gin.Context) { handleAnnouncement(c, events) })
	return &http.Server{
		Handler: e, ReadHeaderTimeout: announceTimeout, ReadTimeout: announceTimeout,
		WriteTimeout: announceTimeout, IdleTimeout: announceIdleTimeout,
	}
}

func handleAnnouncement(c *gin.Context, events Poster) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncement))
	if err != nil {
		c.String(http.StatusRequestEntityTooLarge, "announcement has more than %d bytes\n", maxAnnouncement)
		return
	}
	var a fleet.Announcement
	if err := fleet.Decode(body, &a); err != nil {
		c.String(http.StatusBadRequest, "%s\n", err)
		return
	}
	events.Post(routing.TargetAnnounced{Announcement: a})
	c.Status(http.StatusNoContent)
}
