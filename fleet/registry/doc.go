// Package registry holds the durable state of the fleet and implements the requests that
// control replicas answer.
//
// State is the deterministic state machine over the replicated log: the fleet text and its
// history, the data centres out of service, the leases with their epochs, and the ledger
// of calls that may run once. Server is the reducer of a control replica: it proposes
// commands, answers from the state under the leader's lease, and keeps what is not
// durable, such as the hosts' heartbeats and the expiry of leases.
//
// The log has its own time, LogTime, which advances only while a leader is active and never
// goes back. Retention is measured in it, so that a wrong wall clock can't shorten it.
package registry
