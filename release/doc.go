// Package release implements the progressive rollout of builds as a state machine. It uses no sockets, clock or storage: the
// caller passes each input and its time to Machine.Handle, and carries out the returned effects in order:
//
//	m := release.New(rules, 1)                        // build 1 serves
//	effects := m.Handle(now, release.Offer{Build: 2}) // Deploy and Notify: build 2 is the canary of stage 0
//	effects = m.Handle(now, release.HostsReady{Build: 2})
//	effects = m.Handle(now, release.Vote{Router: "r1", Build: 2, Stage: 0, Choice: policy.Promote})
//	effects = m.Handle(now, release.Tick{})           // periodically: stage times elapse and votes expire
//
// # States
//
// Only the newest release changes its state. Routers see the state as Status.Phase:
//
//	state         Phase        meaning
//	deploying     Canary       the hosts of the current stage are starting
//	analyzing     Canary       all hosts of the stage run: the stage's time counts and routers vote
//	released      Released     the build takes all traffic; the previous build's hosts are retired
//	rolling back  RollingBack  the previous build takes all traffic; this build's hosts are retired
//	rolled back   RolledBack   this build's hosts are removed, or a newer build has superseded it
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
// A trigger that has no row for the current state changes nothing. After supersede, the newer build enters deploying at
// stage 0, with the effects Deploy and Notify.
//
// # Triggers
//
// Hosts ready and hosts removed are the inputs HostsReady and HostsRemoved for the newest build. Supersede is an Offer with
// a higher build number. Roll back is a RollBack, or rollback votes that reach their quorum in any state.
//
// Promote depends on Rules.Mode. With policy.Quorum a stage ends once the promote votes for it reach their quorum and
// MinStageTime has passed since all its hosts became ready. With policy.Timed it ends after StageTime, not counting the time
// during which hold votes reached their quorum. The promotion out of the last stage is the trigger promote last.
//
// A vote counts for VoteTTL; a router's later vote replaces its earlier one. Promote and hold votes count for their stage
// only, rollback votes for the whole build. After Finalize, the build can no longer be rolled back, and no other build can be
// offered until this one is released.
package release
