package membership

import "time"

// State is what a View decides about a VM.
type State string

// States of members.
const (
	// StateLive is the state of a VM that is registered and answers.
	StateLive State = "live"
	// StateSuspect is the state of a VM about which the sources differ. It is
	// used after the live ones.
	StateSuspect State = "suspect"
	// StateLeaving is the state of a VM that the platform is taking away. It
	// answers, and is given nothing new.
	StateLeaving State = "leaving"
	// StateGone is the state of a VM that is not registered and does not
	// answer.
	StateGone State = "gone"
)

// Reason tells why a member has its state.
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

// Member is a VM as a View sees it. Incarnation is empty for a VM that is
// known from the platform's list alone.
type Member struct {
	Record
	State  State
	Reason Reason
}

// Transition is a change of the state of one member. From is empty for a new
// member.
type Transition struct {
	Member Member
	From   State
	Time   time.Time
}
