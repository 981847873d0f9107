package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// unconfirmedValidity is how long a hosts answer may be kept that was not confirmed lately.
const unconfirmedValidity = time.Second

// hosts answers which hosts to use.
func (s *Server) handleHosts(c *gin.Context) {
	cfg, confirmed := s.cfg.Configuration.Current()
	if cfg.Fleet == nil {
		s.refuse(c.Writer, c.Request, "", fleet.Failure{
			Verdict: fleet.NotRun, Reason: fleet.ReasonConfigUnconfirmed,
			Detail: "no configuration is known yet", RetryAfter: time.Second,
		})
		return
	}
	validity := cfg.Fleet.Policy.HostsValidity
	if !confirmed {
		validity = min(validity, unconfirmedValidity)
	}
	customer, service := fleet.CustomerName(c.Query("Customer")), fleet.ServiceName(c.Query("Service"))
	list := s.chooseHosts(cfg, customer, service)
	c.JSON(http.StatusOK, routing.HostsAnswer{Hosts: list, ValidSeconds: validity.Seconds()})
}

func (s *Server) chooseHosts(cfg fleet.Confirmed, customer fleet.CustomerName, service fleet.ServiceName) []routing.Host {
	known := s.cfg.Configuration.Hosts()
	for i := range known {
		if known[i].Host == s.cfg.Host {
			known[i].Stopping = known[i].Stopping || s.cfg.Stopping()
		}
	}
	return routing.ChooseHosts(known, cfg.DataCentresOut, customer, service, s.rotation.Add(1)-1)
}

// otherHosts lists the addresses of other hosts for a caller that is refused here.
func (s *Server) otherHosts(customer fleet.CustomerName, service fleet.ServiceName) string {
	cfg, _ := s.cfg.Configuration.Current()
	ownAddresses := map[string]bool{}
	for _, h := range s.cfg.Configuration.Hosts() {
		if h.Host == s.cfg.Host {
			ownAddresses[h.Address] = true
		}
	}
	var list []string
	for _, h := range s.chooseHosts(cfg, customer, service) {
		if !ownAddresses[h.Address] {
			list = append(list, h.Address)
		}
	}
	return strings.Join(list, ", ")
}
