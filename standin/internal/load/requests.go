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
	// heavyPercent of the model requests are heavy, with heavyFactor times the tokens.
	heavyPercent = 5
	heavyFactor  = 8
	// unaryPercent of the model requests are not streamed.
	unaryPercent = 20
	// readPercent of the plain requests only read.
	readPercent = 40
)

// request is a request with the answer it must get.
type request struct {
	caller.Request
	want    string
	runOnce bool
}

// generator makes the requests of one worker.
type generator struct {
	cfg      *Config
	rng      *rand.Rand
	customer Customer
	worker   int
	made     int
}

func newGenerator(cfg *Config, c Customer, worker int) *generator {
	return &generator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(worker))), customer: c, worker: worker}
}

func (g *generator) next() request {
	g.made++
	plain := g.cfg.Model == "" || g.cfg.Plain != "" && g.percent(g.cfg.PlainPercent)
	switch {
	case !plain:
		return g.completion()
	case g.percent(readPercent):
		return g.plain(http.MethodGet, fmt.Sprintf("/status/%d", g.rng.IntN(1000)), nil)
	}
	r := g.plain(http.MethodPost, "/filings", fmt.Appendf(nil, `{"Worker":%d,"Filing":%d}`, g.worker, g.made))
	r.runOnce = true
	r.IdempotencyKey = fleet.IdempotencyKey(fmt.Sprintf("filing-%d-%d-%d", g.cfg.Seed, g.worker, g.made))
	return r
}

func (g *generator) percent(p int) bool { return g.rng.IntN(100) < p }

func (g *generator) base(s fleet.ServiceName, method, path string, body []byte) caller.Request {
	return caller.Request{
		Customer: g.customer.Name, Key: g.customer.Key, Service: s, Method: method, Path: path, Body: body,
	}
}

func (g *generator) plain(method, path string, body []byte) request {
	return request{
		Request: g.base(g.cfg.Plain, method, path, body),
		want:    answer.Plain(method, path, body),
	}
}

func (g *generator) completion() request {
	tokens := 1 + g.rng.IntN(2*g.cfg.Tokens-1)
	if g.percent(heavyPercent) {
		tokens *= heavyFactor
	}
	c := answer.Completion{
		Model:     "standin",
		Messages:  []answer.Message{{Role: "user", Content: fmt.Sprintf("request %d of worker %d, seed %d", g.made, g.worker, g.cfg.Seed)}},
		Stream:    !g.percent(unaryPercent),
		MaxTokens: tokens,
	}
	body, err := json.Marshal(c)
	if err != nil {
		panic(err) // a struct of strings and numbers always has a JSON form
	}
	r := request{Request: g.base(g.cfg.Model, http.MethodPost, "/v1/chat/completions", body), want: c.UnaryBody()}
	r.Hint = fleet.Cost(tokens)
	if c.Stream {
		r.want = c.StreamBody()
	}
	return r
}
