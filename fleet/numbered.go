package fleet

import "github.com/pkg/errors"

// ConfigNumber orders the configurations of a deployment whose operators number them
// themselves: the highest one that was accepted is in force.
type ConfigNumber int64

// NumberedConfig is a configuration with the number that its operator gave it.
type NumberedConfig struct {
	Number ConfigNumber
	// Text is the configuration as it was sent, compressed by package packed. It is
	// left out of a reply to a process that has it.
	Text []byte `json:",omitempty"`
}

// Methods of control replicas for numbered configurations.
const (
	// MethodPutConfig takes a PutConfigRequest and returns a PutConfigReply.
	MethodPutConfig = "Control.PutConfig"
	// MethodReadConfig takes a ReadConfigRequest and returns a ReadConfigReply.
	MethodReadConfig = "Control.ReadConfig"
	// MethodSetOut takes a SetOutRequest and returns a SetOutReply.
	MethodSetOut = "Control.SetOut"
)

// PutConfigRequest proposes a configuration. One whose number is not higher than that
// in force changes nothing.
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

// PutConfigReply tells the number in force, which is durable.
type PutConfigReply struct {
	Number ConfigNumber
}

// Check implements Checker.
func (*PutConfigReply) Check() error { return nil }

// ReadConfigRequest asks for the newest configuration.
type ReadConfigRequest struct {
	// Known is the number that the asking process has; its text is not sent again.
	Known ConfigNumber
}

// Check implements Checker.
func (*ReadConfigRequest) Check() error { return nil }

// ReadConfigReply is the configuration that no accepted change had overtaken when the
// request arrived.
type ReadConfigReply struct {
	NumberedConfig
}

// Check implements Checker.
func (*ReadConfigReply) Check() error { return nil }

// SetOutRequest takes a data centre out of service or brings it back, whatever it was before.
type SetOutRequest struct {
	DataCentre DataCentreName
	Out        bool
}

// Check implements Checker.
func (r *SetOutRequest) Check() error { return CheckName("DataCentre", string(r.DataCentre)) }

// SetOutReply tells that the change is durable.
type SetOutReply struct {
	Revision Revision
}

// Check implements Checker.
func (*SetOutReply) Check() error { return nil }

// Revision counts the changes of the numbered configuration and of the data centres out.
type Revision uint64
