package fleet

import "github.com/pkg/errors"

// ConfigNumber is the number that an operator gives a configuration. The accepted
// configuration with the highest number is in force.
type ConfigNumber int64

// NumberedConfig is a configuration with its number.
type NumberedConfig struct {
	Number ConfigNumber
	// Text is the configuration as the operator sent it, compressed by package packed. A
	// reply to a process that already has the configuration leaves it out.
	Text []byte `json:",omitempty"`
}

// RPC methods of control replicas for numbered configurations.
const (
	// MethodPutConfig takes a PutConfigRequest and returns a PutConfigReply.
	MethodPutConfig = "Control.PutConfig"
	// MethodReadConfig takes a ReadConfigRequest and returns a ReadConfigReply.
	MethodReadConfig = "Control.ReadConfig"
	// MethodSetOut takes a SetOutRequest and returns a SetOutReply.
	MethodSetOut = "Control.SetOut"
)

// PutConfigRequest proposes a configuration. It has no effect unless its number is higher
// than the one in force.
type PutConfigRequest struct {
	NumberedConfig
}

// Check implements Checker.
func (r *PutConfigRequest) Check() error {
	if len(r.Text) == 0 {
		return errors.New("Text is missing")
	}
	return nil
}

// PutConfigReply names the configuration in force, which is stored durably.
type PutConfigReply struct {
	Number ConfigNumber
}

// Check implements Checker.
func (*PutConfigReply) Check() error { return nil }

// ReadConfigRequest asks for the newest configuration.
type ReadConfigRequest struct {
	// Known is the number of the configuration that the sender has, whose text need not
	// be sent again.
	Known ConfigNumber
}

// Check implements Checker.
func (*ReadConfigRequest) Check() error { return nil }

// ReadConfigReply is a configuration at least as new as any that was accepted before the
// request arrived.
type ReadConfigReply struct {
	NumberedConfig
	// OutRevision is the revision for SetOutRequest.Base.
	OutRevision OutRevision `json:",omitempty"`
}

// Check implements Checker.
func (*ReadConfigReply) Check() error { return nil }

// SetOutRequest takes a data centre out of service or brings it back, whatever
// its present state.
type SetOutRequest struct {
	DataCentre DataCentreName
	Out        bool
	// Base is the revision read after the operator's order had arrived. The request has no
	// effect if another one was committed since, so that an order that was held up on the way
	// does not undo newer ones. Requests of earlier releases have none and always take effect.
	Base *OutRevision `json:",omitempty"`
}

// Check implements Checker.
func (r *SetOutRequest) Check() error { return CheckName("DataCentre", string(r.DataCentre)) }

// SetOutReply confirms that the change is durable.
type SetOutReply struct {
	Revision Revision
}

// Check implements Checker.
func (*SetOutReply) Check() error { return nil }

// OutRevision counts the committed orders that take data centres out of service or bring them
// back, with those that changed nothing.
type OutRevision uint64

// Revision counts the changes of the numbered configuration and of the set of data centres
// that are out of service.
type Revision uint64
