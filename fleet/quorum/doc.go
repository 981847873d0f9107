// Package quorum replicates a log over a few hosts with a disk.
//
// The protocol is Raft: terms, votes, a leader that appends, and commitment once a
// majority of the voters has an entry on disk. Its extensions used here are
// pre-vote, a leader lease for reads (a voter grants no vote within
// MinElectionTimeout of hearing a leader), snapshots, learners, and changes of one
// voter at a time.
//
// A member is a host with an incarnation. A replica draws its incarnation when it
// finds its storage empty, so one that lost its disk is another member: neither its
// votes nor its acknowledgements count until a committed change admits it.
//
// Replica is a reducer: it has no goroutine, clock, disk or socket. The caller
// performs the effects in order and reports back with events.
package quorum
