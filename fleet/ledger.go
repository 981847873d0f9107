package fleet

import (
	"github.com/pkg/errors"
)

// LedgerKey identifies a call that may run once.
type LedgerKey struct {
	Customer CustomerName
	Service  ServiceName
	Key      IdempotencyKey
}

// AttemptID identifies who may send a recorded call: one attempt of one router incarnation.
type AttemptID struct {
	Router      HostID
	Incarnation Incarnation
	Attempt     Sequence
}

// LedgerBeginRequest records a call before its first byte is sent.
type LedgerBeginRequest struct {
	LedgerKey
	// Body is the hash of the method, path and body.
	Body ContentHash
	By   AttemptID
}

// MaxIdempotencyKeyBytes is the longest idempotency key in bytes.
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
	// LedgerGranted means that the asking attempt, and no other, may send the call.
	LedgerGranted LedgerState = "Granted"
	// LedgerRunning means that another attempt has it.
	LedgerRunning LedgerState = "Running"
	// LedgerDone means that it ran; the recorded answer is returned.
	LedgerDone LedgerState = "Done"
	// LedgerMayHaveRun means that it may have run and nobody knows its answer.
	LedgerMayHaveRun LedgerState = "MayHaveRun"
	// LedgerMismatch means that the key was used for another body.
	LedgerMismatch LedgerState = "Mismatch"
)

// LedgerBeginReply tells what the router may do with the call.
type LedgerBeginReply struct {
	State  LedgerState
	Answer *RecordedAnswer `json:",omitempty"`
}

// Check implements Checker.
func (*LedgerBeginReply) Check() error { return nil }

// RecordedAnswer is the answer of a call that ran, as kept in the ledger.
type RecordedAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated says that the body was larger than MaxRecordedAnswer and is not kept.
	Truncated bool `json:",omitempty"`
}

// MaxRecordedAnswerBytes is the largest body of an answer that the ledger keeps, in bytes.
const MaxRecordedAnswerBytes = 32 << 10

// LedgerEndRequest records the end of a call. Only the attempt that began it may.
type LedgerEndRequest struct {
	LedgerKey
	By AttemptID
	// Verdict NotRun frees the key for another attempt; it is allowed only when no
	// byte was sent. Ran records the answer. MayHaveRun bars any other run.
	Verdict Verdict
	Answer  *RecordedAnswer `json:",omitempty"`
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

// LedgerEndReply tells whether the end was recorded.
type LedgerEndReply struct {
	// Recorded is false when the call belongs to another attempt.
	Recorded bool
}

// Check implements Checker.
func (*LedgerEndReply) Check() error { return nil }
