package fleet

import (
	"github.com/pkg/errors"
)

// LedgerKey identifies a run-once call in the ledger.
type LedgerKey struct {
	Customer CustomerName
	Service  ServiceName
	Key      IdempotencyKey
}

// AttemptID identifies the attempt that may send a recorded call: one attempt of one
// incarnation of a router.
type AttemptID struct {
	Router      HostID
	Incarnation Incarnation
	Attempt     Sequence
}

// LedgerBeginRequest records a call before its first byte is sent to a target.
type LedgerBeginRequest struct {
	LedgerKey
	// Body is the hash of the call's method, path and body.
	Body ContentHash
	By   AttemptID
}

// MaxIdempotencyKeyBytes is the maximum length of an idempotency key.
const MaxIdempotencyKeyBytes = 256

// Check implements Checker.
func (r *LedgerBeginRequest) Check() error {
	if r.Key == "" || len(r.Key) > MaxIdempotencyKeyBytes {
		return errors.Errorf("Key has %d bytes; 1 to %d are allowed", len(r.Key), MaxIdempotencyKeyBytes)
	}
	return checkAll(
		CheckName("Customer", string(r.Customer)),
		CheckName("Service", string(r.Service)),
		CheckName("Body", string(r.Body)),
		CheckName("By.Router", string(r.By.Router)),
	)
}

// LedgerState is the state of a recorded call.
type LedgerState string

// The states of a recorded call.
const (
	// LedgerGranted means that the requesting attempt, and no other, may send the call.
	LedgerGranted LedgerState = "Granted"
	// LedgerRunning means that another attempt is running the call.
	LedgerRunning LedgerState = "Running"
	// LedgerDone means that the call ran; its recorded answer is returned.
	LedgerDone LedgerState = "Done"
	// LedgerMayHaveRun means that the call may have run, and that its answer is unknown.
	LedgerMayHaveRun LedgerState = "MayHaveRun"
	// LedgerMismatch means that the key was used before for a call with other content.
	LedgerMismatch LedgerState = "Mismatch"
)

// LedgerBeginReply is the state of the call, which determines whether the router may send it.
type LedgerBeginReply struct {
	State LedgerState
	// Answer is set when State is LedgerDone.
	Answer *RecordedAnswer `json:",omitempty"`
}

// Check implements Checker.
func (*LedgerBeginReply) Check() error { return nil }

// RecordedAnswer is the answer of a call, as kept in the ledger.
type RecordedAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated reports whether the body was larger than MaxRecordedAnswerBytes and therefore
	// not kept.
	Truncated bool `json:",omitempty"`
}

// MaxRecordedAnswerBytes is the largest answer body that the ledger keeps.
const MaxRecordedAnswerBytes = 32 << 10

// LedgerEndRequest records the end of a call. Only the attempt that began the call may
// send it.
type LedgerEndRequest struct {
	LedgerKey
	By AttemptID
	// Verdict NotRun frees the key for another attempt and is allowed only if no byte
	// was sent. Ran records the answer. MayHaveRun prevents any further run.
	Verdict Verdict
	// Answer is required when Verdict is Ran.
	Answer *RecordedAnswer `json:",omitempty"`
}

// Check implements Checker.
func (r *LedgerEndRequest) Check() error {
	if r.Verdict == Ran && r.Answer == nil {
		return errors.New("Answer is missing; a call that ran has one")
	}
	if r.Answer != nil && len(r.Answer.Body) > MaxRecordedAnswerBytes {
		return errors.Errorf("Answer has %d bytes; at most %d are allowed", len(r.Answer.Body), MaxRecordedAnswerBytes)
	}
	if _, err := r.Verdict.MarshalText(); err != nil {
		return err
	}
	return CheckName("Customer", string(r.Customer))
}

// LedgerEndReply reports whether the end was recorded.
type LedgerEndReply struct {
	// Recorded is false when the call belongs to another attempt.
	Recorded bool
}

// Check implements Checker.
func (*LedgerEndReply) Check() error { return nil }
