// Package fleet holds the domain types, messages and interfaces that all
// programs of the fuchsiashed router fleet share.
//
// A request travels caller, router, target. A router queues each request and
// sends a small Ticket to the dispatcher that holds the lease for the service.
// The dispatcher answers with a Grant naming one target, and the router sends
// the request there itself. Control replicas keep the durable state: the fleet
// text, data centre states, leases and the ledger of calls that may run once.
//
// Decisions are made by reducers (see Reducer), which have no goroutines,
// clocks or sockets. Every program performs the effects that they return.
package fleet
