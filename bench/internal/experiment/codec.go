package experiment

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// codec encodes and decodes messages: JSON as package rpc does, or CBOR for comparison.
type codec struct {
	name   string
	encode func(method string, v any) ([]byte, error)
	// decode also checks the message.
	decode func(raw []byte, v fleet.Checker) error
}

func codecs() []codec {
	return []codec{
		{name: "JSON", encode: encodeJSON, decode: decodeJSON},
		{name: "CBOR", encode: encodeCBOR, decode: decodeCBOR},
	}
}

func encodeJSON(method string, v any) ([]byte, error) {
	req := jsonrpc2.Request{Method: method, Notif: true}
	if err := req.SetParams(v); err != nil {
		return nil, err
	}
	return json.Marshal(&req)
}

func decodeJSON(raw []byte, v fleet.Checker) error {
	var req jsonrpc2.Request
	if err := json.Unmarshal(raw, &req); err != nil {
		return err
	}
	return fleet.Decode(*req.Params, v)
}

// notification is the CBOR counterpart of a JSON-RPC notification.
type notification struct {
	Method string
	Params cbor.RawMessage
}

func encodeCBOR(method string, v any) ([]byte, error) {
	params, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(notification{Method: method, Params: params})
}

func decodeCBOR(raw []byte, v fleet.Checker) error {
	var message notification
	if err := cbor.Unmarshal(raw, &message); err != nil {
		return err
	}
	if err := cbor.Unmarshal(message.Params, v); err != nil {
		return err
	}
	return v.Check()
}

// codecCost is the size in bytes and the CPU time of a list of messages in one direction.
type codecCost struct {
	bytes                int
	encodeCPU, decodeCPU time.Duration
}

// measureCodec encodes and decodes the messages and returns their total cost. A message that
// fails its check is an error.
func measureCodec[T any, P interface {
	*T
	fleet.Checker
}](c codec, method string, messages []T) (codecCost, error) {
	var cost codecCost
	encoded := make([][]byte, len(messages))
	began := cpuTime()
	for i := range messages {
		raw, err := c.encode(method, &messages[i])
		if err != nil {
			return cost, errors.Wrapf(err, "encode as %s", c.name)
		}
		encoded[i] = raw
		cost.bytes += len(raw)
	}
	cost.encodeCPU = cpuTime() - began
	began = cpuTime()
	for i := range encoded {
		if err := c.decode(encoded[i], P(new(T))); err != nil {
			return cost, errors.Wrapf(err, "decode as %s", c.name)
		}
	}
	cost.decodeCPU = cpuTime() - began
	return cost, nil
}
