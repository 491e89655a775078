package membership

import "time"

// State is the membership state that a View assigns to a VM.
type State string

// States of members.
const (
	// StateLive is the state of a VM that is registered and answers.
	StateLive State = "live"
	// StateSuspect is the state of a VM on which the sources disagree. Suspect
	// members are used after the live ones.
	StateSuspect State = "suspect"
	// StateLeaving is the state of a VM that the platform is removing. It still
	// answers, but is given no new work.
	StateLeaving State = "leaving"
	// StateGone is the state of a VM that is not registered and does not
	// answer.
	StateGone State = "gone"
)

// Reason explains why a member has its state.
type Reason string

// Reasons of states.
const (
	ReasonRegistered   Reason = "registered"
	ReasonListed       Reason = "on the platform's list, not registered"
	ReasonLeaving      Reason = "leaving on the platform's list"
	ReasonSilent       Reason = "registered, probes fail"
	ReasonUnregistered Reason = "not registered, answers probes"
	ReasonAbsent       Reason = "not registered, does not answer"
)

// Member is a VM with its membership state. Incarnation is empty for a VM that is
// known only from the platform's list.
type Member struct {
	Record
	State  State
	Reason Reason
}

// Transition is a change of one member's state. From is empty for a new member.
type Transition struct {
	Member Member
	From   State
	Time   time.Time
}
