// Package routing decides what a router does with each request: whether to take it,
// when to ask for a target, under which grant to send, when to resume or retry, and
// with which verdict it ends. Bodies and answers do not pass through the reducer; it
// is told what happened to them.
//
// A request is accepted, recorded in the ledger when it may run only once, waits with
// a ticket at the dispatchers, is sent under a grant, and ends exactly once.
package routing
