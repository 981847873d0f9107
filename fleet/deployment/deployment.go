// Package deployment holds the configuration of a deployment whose operators number
// their configurations themselves: routes by host and path prefix, the services that
// answer them, and the customers with their keys.
package deployment

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// RouteKind says how often a request of a route may run.
type RouteKind string

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = "Idempotent"
	// KindAtMostOnce requests run at most once for each attempt of a caller.
	KindAtMostOnce RouteKind = "Once"
	// KindStream requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	KindStream RouteKind = "Stream"
)

// WeightedService is the part of a route's requests that goes to a service.
type WeightedService struct {
	Service fleet.ServiceName
	Weight  int
}

// Route says where requests below a path prefix of a host go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Split has the services of the route with their weights.
	Split []WeightedService
	// Timeout is the longest time for which a request is kept.
	Timeout time.Duration
	// Goal is the time to the first byte within which an answer is worth most.
	Goal time.Duration
	// GapGoal is the longest pause between two events of an answer in time; 0 when the
	// route has none.
	GapGoal time.Duration
	// Attempts bounds the targets to which one request is sent.
	Attempts int
	// Public routes take requests without a key.
	Public bool
	// Affinity says that requests carry prompts whose parts targets keep.
	Affinity bool
	// Resumable streams may go on at another target after the last event passed on.
	Resumable bool
	// Rank is the urgency; 0 is the highest.
	Rank int

	weights int
}

// Repeatable says whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService returns the service for a number drawn at random or from a hash.
func (r *Route) PickService(draw uint64) fleet.ServiceName {
	n := int(draw % uint64(r.weights))
	for _, s := range r.Split {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots fleet.Slots
	// CacheTokens is the memory of one engine, for running requests and kept parts.
	CacheTokens int
}

// Service is what targets offer.
type Service struct {
	Name fleet.ServiceName
	// Connections bounds the connections to one target from all callers together.
	Connections int
	// ColdFor is how long a target stays cold after it starts.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold target bears.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Customer has keys and a rank.
type Customer struct {
	Name fleet.CustomerName
	Keys []string
	Rank int
}

// Configuration is a checked configuration. It is not changed after New.
type Configuration struct {
	Number    fleet.ConfigNumber
	Routes    []Route
	Services  []Service
	Customers []Customer
	// TokensPerSecond is what all model engines produce together, each token read
	// counted once and each token generated twice; 0 when it is not known.
	TokensPerSecond float64

	hosts    map[string]map[string]*Route
	services map[fleet.ServiceName]*Service
	keys     map[string]*Customer
}

// New checks a configuration and prepares it for look-ups.
func New(c Configuration) (*Configuration, error) {
	c.hosts = map[string]map[string]*Route{}
	c.services = map[fleet.ServiceName]*Service{}
	c.keys = map[string]*Customer{}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" || c.services[s.Name] != nil {
			return nil, errors.Errorf("service %d: name %q is empty or stands twice", i, s.Name)
		}
		c.services[s.Name] = s
	}
	for i := range c.Routes {
		if err := c.addRoute(&c.Routes[i]); err != nil {
			return nil, errors.Wrapf(err, "route %q", c.Routes[i].Name)
		}
	}
	for i := range c.Customers {
		if err := c.addCustomer(&c.Customers[i]); err != nil {
			return nil, err
		}
	}
	return &c, nil
}

func (c *Configuration) addRoute(r *Route) error {
	r.Host = strings.ToLower(r.Host)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		return errors.Errorf("timeout is %s; it must be more than 0", r.Timeout)
	}
	switch r.Kind {
	case KindIdempotent, KindAtMostOnce, KindStream:
	default:
		return errors.Errorf("kind %q is unknown", r.Kind)
	}
	r.weights = 0
	for _, s := range r.Split {
		if c.services[s.Service] == nil {
			return errors.Errorf("service %q does not exist", s.Service)
		}
		if s.Weight < 0 {
			return errors.Errorf("weight of service %q is %d; it must not be negative", s.Service, s.Weight)
		}
		r.weights += s.Weight
	}
	if r.weights <= 0 {
		return errors.New("weights add up to 0")
	}
	r.Attempts = max(r.Attempts, 1)
	prefixes := c.hosts[r.Host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		c.hosts[r.Host] = prefixes
	}
	if other := prefixes[r.Prefix]; other != nil {
		return errors.Errorf("host %q and prefix %q belong to route %q too", r.Host, r.Prefix, other.Name)
	}
	prefixes[r.Prefix] = r
	return nil
}

func (c *Configuration) addCustomer(u *Customer) error {
	for _, key := range u.Keys {
		if other := c.keys[key]; other != nil && other.Name != u.Name {
			return errors.Errorf("customers %q and %q share a key", other.Name, u.Name)
		}
		c.keys[key] = u
	}
	return nil
}

// Match returns the route with the longest prefix of the path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	prefixes := c.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service, or nil.
func (c *Configuration) Service(name fleet.ServiceName) *Service { return c.services[name] }

// NeedsKeys says whether requests on routes that are not public carry a key.
func (c *Configuration) NeedsKeys() bool { return len(c.Customers) > 0 }

// CustomerByKey returns the customer that has a key.
func (c *Configuration) CustomerByKey(key string) (*Customer, bool) {
	u, ok := c.keys[key]
	return u, ok
}
