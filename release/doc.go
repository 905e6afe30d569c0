// Package release is the progressive rollout of builds as a state machine. It has no sockets, clock or storage: the caller
// hands each input to Machine.Handle together with the time and carries out the effects that it returns, in order:
//
//	m := release.New(rules, 1)                        // build 1 serves
//	effects := m.Handle(now, release.Offer{Build: 2}) // Deploy and Notify: build 2 is the canary of stage 0
//	effects = m.Handle(now, release.HostsReady{Build: 2})
//	effects = m.Handle(now, release.Vote{Router: "r1", Build: 2, Stage: 0, Choice: policy.Promote})
//	effects = m.Handle(now, release.Tick{})           // now and then: stage times elapse and votes expire
//
// # States
//
// One release, the newest, moves through these states; Status.Phase is what routers are told of them:
//
//	state         Phase        meaning
//	deploying     Canary       the hosts of the present stage start
//	analyzing     Canary       they all run: the stage's time counts and routers vote
//	released      Released     the build takes all traffic; the previous build's hosts are retired
//	rolling back  RollingBack  the previous build takes all traffic; this build's hosts are retired
//	rolled back   RolledBack   this build's hosts are gone, or a newer build has superseded it
//
// # Transitions
//
//	state         trigger        next          effects, in order
//	deploying     hosts ready    analyzing     none; the stage's time starts
//	analyzing     promote        deploying     Deploy and Notify of the next stage
//	analyzing     promote last   released      Notify, Retire of the previous build
//	deploying     roll back      rolling back  Notify, Retire
//	analyzing     roll back      rolling back  Notify, Retire
//	released      roll back      rolling back  Deploy of the previous build everywhere, Notify, Retire
//	rolling back  hosts removed  rolled back   Notify
//	deploying     supersede      rolled back   Notify, Retire
//	analyzing     supersede      rolled back   Notify, Retire
//	rolling back  supersede      rolled back   Notify
//	released      supersede      released      none; this build becomes the previous one
//	rolled back   supersede      rolled back   none
//
// A trigger without a row changes nothing. After supersede the newer build enters deploying at stage 0, with Deploy and
// Notify.
//
// # Triggers
//
// Hosts ready and hosts removed are the inputs HostsReady and HostsRemoved for the newest build. Supersede is an Offer with
// a higher build number. Roll back is a RollBack, or rollback votes that reach their quorum in any state.
//
// Promote depends on Rules.Mode. With policy.Quorum a stage ends once the promote votes for it reach their quorum and
// MinStageTime has passed since its hosts run. With policy.Timed it ends after StageTime, not counting the time during
// which a quorum of hold votes stood. Promotion out of the last stage is promote last.
//
// A vote counts for VoteTTL; a router's later vote replaces its earlier one. Promote and hold votes count for their stage
// only, rollback votes for the build. After Finalize the build can't be rolled back any more, and no other build can be
// offered before it is released.
package release
