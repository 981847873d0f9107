// Package registry holds the durable state of the fleet and decides how control
// replicas answer.
//
// State is the deterministic state machine that the replicated log drives: the fleet
// text and its history, data centres out of service, leases with their epochs, and
// the ledger of calls that may run once. Server is the reducer of a control replica:
// it puts requests into the log, answers from the state under the leader's lease, and
// keeps what is not durable, such as heartbeats and the ends of leases.
//
// The log has a time of its own, LogTime, which passes while a leader is active and
// never goes back. Retention is measured by it, so no wall clock can shorten it.
package registry
