// Package rollout decides how a roll-out goes on, from what all routers see of both versions.
//
// A Controller is the reducer for one roll-out during one term of the leader. It raises the share
// of the new version in steps: to a small one, which leaves time to find a fault while few
// requests meet it, and in the last part of the time to 1. It reverts the roll-out once the new
// version is worse than the old one beyond chance, and completes it once the old targets have
// finished what they run.
package rollout
