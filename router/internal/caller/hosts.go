package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// unconfirmedValidity bounds how long callers may keep a list of hosts while the
// configuration is not confirmed.
const unconfirmedValidity = time.Second

// handleHosts responds with the hosts that a caller should use and how long the list is
// valid.
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

// otherHosts lists the addresses of other hosts, separated by commas, for a caller
// whose request is refused here.
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
