// Package fleettext parses the fleet text, the INI file that lists the services, customers,
// data centres and policy of a fleet.
package fleettext

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strings"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/settings"
)

// document has one field for each kind of section of a fleet text. The names of the fields
// are the names of the sections and keys.
type document struct {
	Fleet      fleetSection
	DataCentre map[fleet.DataCentreName]dataCentreSection
	Service    map[fleet.ServiceName]serviceSection
	Customer   map[fleet.CustomerName]customerSection
	Policy     policySection
}

type fleetSection struct {
	Region fleet.RegionName
}

type dataCentreSection struct{}

type serviceSection struct {
	Protocol       fleet.Protocol      `allowed:"Model, Plain"`
	DependsOn      []fleet.ServiceName `default:""`
	Idempotent     []string            `default:""`
	ChecksFencing  bool                `default:"false"`
	MaxCost        fleet.Cost          `min:"1" max:"100000000"`
	MinSlots       fleet.Slots         `default:"1" min:"0" max:"1000000"`
	RequestTimeout time.Duration       `default:"10m" min:"100ms" max:"24h"`
	IdleTimeout    time.Duration       `default:"10s" min:"50ms" max:"1h"`
	QueueTimeout   time.Duration       `default:"30s" min:"10ms" max:"1h"`
}

type customerSection struct {
	Weight  fleet.Weight `default:"1" min:"1" max:"1000"`
	KeyHash string
}

type policySection struct {
	PlacementSlack         fleet.Cost     `default:"0" min:"0" max:"100000000"`
	QueuePerCustomer       int            `default:"256" min:"1" max:"1000000"`
	QueuePerRouter         int            `default:"2048" min:"1" max:"1000000"`
	QueueBytesPerRouter    fleet.ByteSize `default:"67108864" min:"1024"`
	MaxBody                fleet.ByteSize `default:"4194304" min:"1024" max:"1073741824"`
	ConnectionsPerCustomer int            `default:"512" min:"1" max:"1000000"`
	StandingSlots          fleet.Slots    `default:"1" min:"0" max:"4096"`
	ReturnRamp             time.Duration  `default:"10s" min:"0s" max:"1h"`
	QuarantineFor          time.Duration  `default:"10m" min:"1s" max:"24h"`
	RetryBudgetPercent     int            `default:"10" min:"0" max:"100"`
	LedgerRetention        time.Duration  `default:"24h" min:"1m" max:"720h"`
	HostsValidity          time.Duration  `default:"5s" min:"100ms" max:"1h"`
}

// Hash returns the SHA-256 of a fleet text in lower-case hex.
func Hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Parse parses and validates a fleet text. Errors mention fileName, and the section
// and key where they apply.
func Parse(fileName, text string) (*fleet.Fleet, error) {
	var doc document
	if err := settings.Parse(fileName, []byte(text), &doc); err != nil {
		return nil, err
	}
	f := doc.fleet()
	if err := check(fileName, f); err != nil {
		return nil, err
	}
	return f, nil
}

func (d *document) fleet() *fleet.Fleet {
	f := &fleet.Fleet{
		Region:    d.Fleet.Region,
		Services:  make(map[fleet.ServiceName]fleet.Service, len(d.Service)),
		Customers: make(map[fleet.CustomerName]fleet.Customer, len(d.Customer)),
		Policy:    fleet.Policy(d.Policy),
	}
	for n := range d.DataCentre {
		f.DataCentres = append(f.DataCentres, n)
	}
	sortDataCentres(f.DataCentres)
	for n, s := range d.Service {
		f.Services[n] = fleet.Service{
			Name: n, Protocol: s.Protocol, DependsOn: s.DependsOn, Idempotent: s.Idempotent,
			ChecksFencing: s.ChecksFencing, MaxCost: s.MaxCost, MinSlots: s.MinSlots,
			RequestTimeout: s.RequestTimeout, IdleTimeout: s.IdleTimeout, QueueTimeout: s.QueueTimeout,
		}
	}
	for n, c := range d.Customer {
		f.Customers[n] = fleet.Customer{Name: n, Weight: c.Weight, KeyHash: c.KeyHash}
	}
	return f
}

var (
	keyHashPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
	idempotentPattern = regexp.MustCompile(`^[A-Z]+ /[^* ]*\*?$`)
)

// check validates names, key hashes and patterns, and the references between sections.
func check(fileName string, f *fleet.Fleet) error {
	fail := func(section, key, problem, allowed string) error {
		return &settings.Error{File: fileName, Section: section, Key: key, Problem: problem, Allowed: allowed}
	}
	if len(f.DataCentres) == 0 || len(f.Services) == 0 || len(f.Customers) == 0 {
		return fail("Fleet", "", "the text lacks a data centre, a service or a customer", "at least one section of each")
	}
	if err := fleet.CheckName("Region", string(f.Region)); err != nil {
		return fail("Fleet", "Region", err.Error(), "a name")
	}
	for _, n := range f.DataCentres {
		if err := fleet.CheckName("DataCentre", string(n)); err != nil {
			return fail("DataCentre "+string(n), "", err.Error(), "a name")
		}
	}
	hashes := map[string]fleet.CustomerName{}
	for _, n := range f.CustomerNames() {
		c := f.Customers[n]
		section := "Customer " + string(n)
		if err := fleet.CheckName("Customer", string(n)); err != nil {
			return fail(section, "", err.Error(), "a name")
		}
		if !keyHashPattern.MatchString(c.KeyHash) {
			return fail(section, "KeyHash", "value is not a hash", "64 lower-case hex digits, the SHA-256 of the key")
		}
		if other, ok := hashes[c.KeyHash]; ok {
			return fail(section, "KeyHash", "value is also that of customer "+string(other), "a key of its own for each customer")
		}
		hashes[c.KeyHash] = n
	}
	for _, n := range f.ServiceNames() {
		section := "Service " + string(n)
		if err := fleet.CheckName("Service", string(n)); err != nil || strings.Contains(string(n), "/") {
			return fail(section, "", "name is not allowed", "letters, digits and ._:-")
		}
		for _, pattern := range f.Services[n].Idempotent {
			if !idempotentPattern.MatchString(pattern) {
				return fail(section, "Idempotent", "pattern "+pattern+" is malformed", `"METHOD /path" or "METHOD /path*"`)
			}
		}
		for _, dep := range f.Services[n].DependsOn {
			if _, ok := f.Services[dep]; !ok {
				return fail(section, "DependsOn", "service "+string(dep)+" does not exist", joinServiceNames(f))
			}
		}
	}
	if cycle := findCycle(f); cycle != "" {
		return fail("Service "+strings.SplitN(cycle, " ", 2)[0], "DependsOn", "services depend on each other in a cycle: "+cycle, "dependencies without a cycle")
	}
	return nil
}

func joinServiceNames(f *fleet.Fleet) string {
	list := make([]string, 0, len(f.Services))
	for _, n := range f.ServiceNames() {
		list = append(list, string(n))
	}
	return strings.Join(list, ", ")
}
