package program

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"go.uber.org/fx"
)

// adminHeaderTimeout bounds the time to read a request's header on the admin address.
const adminHeaderTimeout = 5 * time.Second

// ServeAdmin serves /debug/vars and the added routes on the admin address of a process. It
// must be called before other hooks are appended: hooks stop in reverse order, and the server
// has to stop last, so that a planned stop can be observed.
func ServeAdmin(lc fx.Lifecycle, addr netip.AddrPort, routes func(r gin.IRouter)) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.GET("/debug/vars", gin.WrapH(expvar.Handler()))
	if routes != nil {
		routes(engine)
	}
	ServeHTTP(lc, addr, &http.Server{Handler: engine, ReadHeaderTimeout: adminHeaderTimeout})
}

// ServeHTTP runs an HTTP server on an address from the start to the stop of the application.
func ServeHTTP(lc fx.Lifecycle, addr netip.AddrPort, srv *http.Server) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ln, err := net.Listen("tcp", addr.String())
			if err != nil {
				return errors.Wrapf(err, "listen on %s", addr)
			}
			go func() {
				// Serve always returns an error; after Shutdown it is http.ErrServerClosed.
				_ = srv.Serve(ln)
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			return srv.Shutdown(ctx)
		},
	})
}
