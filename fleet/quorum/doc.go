// Package quorum replicates a log over a few hosts by the Raft protocol.
//
// An entry is committed once a majority of the voters has it on disk. The package
// implements these extensions of Raft: pre-vote, leader leases for reads (a voter grants
// no vote within MinElectionTimeout of hearing a leader), leadership transfer, snapshots,
// learners, and membership changes of one voter at a time.
//
// A member is a host together with an incarnation, which a replica draws when it finds
// its storage empty. A replica that lost its disk is therefore another member: neither
// its votes nor its acknowledgements count until a committed change admits it.
//
// Replica is a reducer: it has no goroutine, clock, disk or socket. The caller performs
// the effects in order and reports back with events.
package quorum
