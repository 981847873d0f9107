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
	// maxAnnouncement is the largest announcement in bytes.
	maxAnnouncement = 1 << 20
	// announceTimeout bounds reading one announcement.
	announceTimeout = 5 * time.Second
	// announceIdle is how long an unused connection of a target is kept.
	announceIdleTimeout = 30 * time.Second
)

// Poster takes events for the reducer.
type Poster interface {
	Post(ev fleet.Event)
}

// NewAnnounceServer makes the server of the address to which targets announce themselves.
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
