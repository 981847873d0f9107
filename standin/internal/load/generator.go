package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/answer"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/caller"
)

const (
	// heavyPercent of the model requests ask for heavyFactor times the tokens.
	heavyPercent = 5
	heavyFactor  = 8
	// unaryPercent of the model requests are not streamed.
	unaryPercent = 20
	// readPercent of the plain requests are GET requests; the others are run-once calls.
	readPercent = 40
)

// request is a request with the body of its expected answer.
type request struct {
	caller.Request
	wantBody string
	runOnce  bool
}

// generator generates the requests of one worker. The sequence depends on the seed and
// the worker's number alone.
type generator struct {
	cfg          *Config
	rng          *rand.Rand
	customer     Customer
	workerNumber int
	generated    int
}

func newGenerator(cfg *Config, c Customer, workerNumber int) *generator {
	return &generator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(workerNumber))), customer: c, workerNumber: workerNumber}
}

func (g *generator) next() request {
	g.generated++
	plain := g.cfg.ModelService == "" || g.cfg.PlainService != "" && g.chance(g.cfg.PlainPercent)
	switch {
	case !plain:
		return g.completionRequest()
	case g.chance(readPercent):
		return g.plainRequest(http.MethodGet, fmt.Sprintf("/status/%d", g.rng.IntN(1000)), nil)
	}
	r := g.plainRequest(http.MethodPost, "/filings", fmt.Appendf(nil, `{"Worker":%d,"Filing":%d}`, g.workerNumber, g.generated))
	r.runOnce = true
	r.IdempotencyKey = fleet.IdempotencyKey(fmt.Sprintf("filing-%d-%d-%d", g.cfg.Seed, g.workerNumber, g.generated))
	return r
}

func (g *generator) chance(percent int) bool { return g.rng.IntN(100) < percent }

func (g *generator) newRequest(service fleet.ServiceName, method, path string, body []byte) caller.Request {
	return caller.Request{
		Customer: g.customer.Name, Key: g.customer.Key, Service: service, Method: method, Path: path, Body: body,
	}
}

func (g *generator) plainRequest(method, path string, body []byte) request {
	return request{
		Request:  g.newRequest(g.cfg.PlainService, method, path, body),
		wantBody: answer.PlainBody(method, path, body),
	}
}

func (g *generator) completionRequest() request {
	tokens := 1 + g.rng.IntN(2*g.cfg.MeanTokens-1)
	if g.chance(heavyPercent) {
		tokens *= heavyFactor
	}
	completion := answer.Completion{
		Model:     "standin",
		Messages:  []answer.Message{{Role: "user", Content: fmt.Sprintf("request %d of worker %d, seed %d", g.generated, g.workerNumber, g.cfg.Seed)}},
		Stream:    !g.chance(unaryPercent),
		MaxTokens: tokens,
	}
	body, err := json.Marshal(completion)
	if err != nil {
		panic(err) // strings and numbers can always be marshalled
	}
	r := request{Request: g.newRequest(g.cfg.ModelService, http.MethodPost, "/v1/chat/completions", body), wantBody: completion.UnaryBody()}
	r.Hint = fleet.Cost(tokens)
	if completion.Stream {
		r.wantBody = completion.StreamBody()
	}
	return r
}
