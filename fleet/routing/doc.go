// Package routing is the reducer that decides what a router does with each request: whether to
// admit it, when to ask for a target, under which grant to send it, when to resume or retry,
// and with which verdict it ends. Bodies and answers do not pass through the reducer; events
// report what happened to them.
//
// A request is admitted, recorded in the ledger if it may run only once, queued with a ticket
// at the dispatchers, sent under a grant, and ends exactly once.
package routing
