// Package fleet holds the domain types, messages and interfaces that all
// programs of the fuchsiashed router fleet share.
//
// A request goes from its caller to a router and from there to a target. The
// router queues the request and sends a Ticket to the dispatcher that holds the
// region's lease. The dispatcher answers with a Grant that names one target, to
// which the router sends the request. Control replicas keep the durable state:
// the fleet text, the data centres that are out, leases and the ledger of
// run-once calls.
//
// Decisions are made by reducers (see Reducer), which use no goroutines, clocks
// or sockets. The programs perform the effects that the reducers return.
package fleet
