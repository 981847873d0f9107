// Package deployment defines the configuration of a deployment on the users' platform:
// routes by host name and path prefix, the services that they lead to, and the customers
// with their API keys. Operators number the configurations themselves.
package deployment

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// RouteKind defines how often a request on a route may be executed.
type RouteKind string

// The kinds of routes.
const (
	// KindIdempotent requests may be executed more than once.
	KindIdempotent RouteKind = "Idempotent"
	// KindAtMostOnce requests are executed at most once for each attempt of the caller.
	KindAtMostOnce RouteKind = "Once"
	// KindStream requests are answered with a stream of events. They are executed at
	// most once unless the route is resumable.
	KindStream RouteKind = "Stream"
)

// WeightedService is a service with its weight in a route's traffic split. Its share
// of the requests is Weight divided by the sum of the route's weights.
type WeightedService struct {
	Service fleet.ServiceName
	Weight  int
}

// Route describes the requests to a host name below a path prefix, and the services that
// they are sent to.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Split lists the services that share the route's requests.
	Split []WeightedService
	// Timeout is the longest time from the arrival of a request to its deadline.
	Timeout time.Duration
	// Goal is the time within which the first byte of a response should arrive; 0 means
	// none. A later response has less value.
	Goal time.Duration
	// GapGoal is the longest pause that should occur between two events of a stream; 0
	// means no bound.
	GapGoal time.Duration
	// Attempts is the maximum number of targets to which one request is sent; at least 1
	// after New.
	Attempts int
	// Public reports whether requests are accepted without an API key.
	Public bool
	// Affinity reports whether requests carry prompts whose parts targets keep in their
	// prefix caches.
	Affinity bool
	// Resumable reports whether another target can continue a stream after the last event
	// that was forwarded.
	Resumable bool
	// Rank is the priority; 0 is the highest.
	Rank int

	// totalWeight is the sum of the weights in Split.
	totalWeight int
}

// Repeatable reports whether a request may be sent again after a target may have executed
// it.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// ResumesStreams reports whether the route's requests are streams that another target can
// continue.
func (r *Route) ResumesStreams() bool { return r.Kind == KindStream && r.Resumable }

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service fleet.ServiceName) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// PickService selects a service according to the weights. The argument is a random number
// or a hash; equal arguments select the same service.
func (r *Route) PickService(random uint64) fleet.ServiceName {
	remaining := int(random % uint64(r.totalWeight))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the model engine that each target of a service runs.
type Engine struct {
	// Slots is the number of requests that an engine processes concurrently.
	Slots fleet.Slots
	// CacheTokens is the capacity of an engine's KV cache in tokens, for running requests
	// and cached prompt parts together.
	CacheTokens int
	// CacheBytesPerToken is the size of one cached prompt token, in bytes; 0 means unknown.
	CacheBytesPerToken float64
	// LinkMbps is the rate at which an engine sends cached parts to others, in Mbit/s; 0 means
	// unknown.
	LinkMbps float64
}

// CopiesParts reports whether engines can fetch cached parts of prompts from each other. Both the
// size of a token and the rate must be known.
func (e *Engine) CopiesParts() bool { return e != nil && e.CacheBytesPerToken > 0 && e.LinkMbps > 0 }

// Service describes a service and the load that each of its targets can take.
type Service struct {
	Name fleet.ServiceName
	// Connections is the maximum number of connections to one target, from all its clients
	// together.
	Connections int
	// ColdFor is the warm-up time of a target after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a target can take while it warms
	// up.
	ColdRate float64
	// Engine is nil for services other than model services.
	Engine *Engine
}

// Customer sends requests under its API keys and has a priority.
type Customer struct {
	Name fleet.CustomerName
	Keys []string
	// Rank is the priority of the customer's requests; 0 is the highest.
	Rank int
}

// Configuration is the configuration of a deployment. The look-up methods require one that
// New has returned, which must not be changed any more.
type Configuration struct {
	Number    fleet.ConfigNumber
	Routes    []Route
	Services  []Service
	Customers []Customer
	// TokensPerSecond is the combined throughput of all model engines: a prompt token
	// counts once, a generated token twice; 0 means unknown.
	TokensPerSecond float64

	// routesByHost has the routes by lower-case host name and path prefix.
	routesByHost   map[string]map[string]*Route
	servicesByName map[fleet.ServiceName]*Service
	customersByKey map[string]*Customer
}

// New validates a configuration and builds its look-up tables. Host names become lower
// case, and Attempts below 1 become 1.
func New(c Configuration) (*Configuration, error) {
	c.routesByHost = map[string]map[string]*Route{}
	c.servicesByName = map[fleet.ServiceName]*Service{}
	c.customersByKey = map[string]*Customer{}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" || c.servicesByName[s.Name] != nil {
			return nil, errors.Errorf("service %d: name %q is empty or stands twice", i, s.Name)
		}
		c.servicesByName[s.Name] = s
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
	r.totalWeight = 0
	for _, s := range r.Split {
		if c.servicesByName[s.Service] == nil {
			return errors.Errorf("service %q does not exist", s.Service)
		}
		if s.Weight < 0 {
			return errors.Errorf("weight of service %q is %d; it must not be negative", s.Service, s.Weight)
		}
		r.totalWeight += s.Weight
	}
	if r.totalWeight <= 0 {
		return errors.New("weights add up to 0")
	}
	r.Attempts = max(r.Attempts, 1)
	prefixes := c.routesByHost[r.Host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		c.routesByHost[r.Host] = prefixes
	}
	if other := prefixes[r.Prefix]; other != nil {
		return errors.Errorf("host %q and prefix %q belong to route %q too", r.Host, r.Prefix, other.Name)
	}
	prefixes[r.Prefix] = r
	return nil
}

func (c *Configuration) addCustomer(customer *Customer) error {
	for _, key := range customer.Keys {
		if other := c.customersByKey[key]; other != nil && other.Name != customer.Name {
			return errors.Errorf("customers %q and %q share a key", other.Name, customer.Name)
		}
		c.customersByKey[key] = customer
	}
	return nil
}

// Match returns the route of the host whose prefix is the longest that matches the path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	prefixes := c.routesByHost[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the name, or nil.
func (c *Configuration) Service(name fleet.ServiceName) *Service { return c.servicesByName[name] }

// NeedsKeys reports whether API keys are checked, which is the case if there are customers.
// Public routes accept requests without a key even then.
func (c *Configuration) NeedsKeys() bool { return len(c.Customers) > 0 }

// CustomerByKey returns the customer to which an API key belongs.
func (c *Configuration) CustomerByKey(key string) (*Customer, bool) {
	customer, ok := c.customersByKey[key]
	return customer, ok
}
