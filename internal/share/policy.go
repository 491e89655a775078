package share

import (
	"time"

	"example.org/lagoonfork/pkg/configuration"
)

// Policy holds the parameters of Plan.
type Policy struct {
	// Availability is 0 for caution and 1 for availability. Values between them are
	// meant for measurements.
	Availability float64
	// Horizon is how long a share should last at the present drawing rate, MeanHorizon
	// at the mean rate.
	Horizon, MeanHorizon time.Duration
	// StandbyHorizon is how long a standby reserve should last at the rate at which
	// other routers spend the budget.
	StandbyHorizon time.Duration
	// ReserveRequests is the number of requests of typical size for which a share in
	// use holds tokens regardless of its rate.
	ReserveRequests int
	// ActiveFraction is the fraction of its limit that a share holds regardless of
	// its rate while its own router spends from it, because the rate is known only
	// after a while.
	ActiveFraction float64
	// FreeFraction bounds all shares together to this fraction of the remaining budget.
	FreeFraction float64
	// MaxSplitRatio bounds a holder's fraction of the FreeFraction to this multiple of an
	// even split, because the fleet's rate is known only after a delay. 0 means no
	// bound.
	MaxSplitRatio float64
	// SharedFraction lets a holder exceed its fraction of the FreeFraction as long as
	// all shares together stay within this fraction of the remaining budget. 0 means
	// that it may not.
	SharedFraction float64
	// MaxHeldFraction is the fraction of the remaining budget that the ledger lets all
	// shares together hold beyond the tokens that requests wait for. The other fractions
	// are observed by each holder on its own, and holders that draw at the same time
	// exceed them. 0 means no such bound.
	MaxHeldFraction float64
	// CalmFor is how long after each op a holder spends at most at its present rate, so that
	// the process that replaces it can free most of its share (ledger.CalmPhase). 0 means
	// that it may spend as far as its share goes.
	CalmFor time.Duration
	// StandbyPerDomain requires a reserve of each budget in use in every failure domain,
	// even where no router serves it.
	StandbyPerDomain bool
	// RefillLevel is the fraction of its target below which a share is refilled.
	RefillLevel float64
	// IdleLimit is how long a share may be unused before it is returned.
	IdleLimit time.Duration
	// RefusalAllowance is how long a request may wait for tokens returned by other
	// holders. If it is 0, they are not asked.
	RefusalAllowance time.Duration
}

// OnDemand returns the policy of a router that borrows from other holders. It draws only
// the tokens that requests wait for, and returns the rest.
func (p Policy) OnDemand() Policy {
	p.Horizon, p.MeanHorizon, p.StandbyHorizon = 0, 0, 0
	p.ReserveRequests, p.ActiveFraction = 0, 0
	p.StandbyPerDomain = false
	return p
}

// Parameters at caution and at availability, between which policies are
// interpolated, and defaults.
const (
	defaultHorizon = 10 * time.Second
	// standbyDivisor is the ratio of MeanHorizon to StandbyHorizon.
	standbyDivisor              = 10
	defaultLifetime             = 90 * time.Second
	cautionRefillLevel          = 0.5
	availabilityRefillLevel     = 0.85
	cautionReserveRequests      = 2.0
	availabilityReserveRequests = 8.0
	cautionFreeFraction         = 0.5
	availabilityFreeFraction    = 0.95
	availabilityActiveFraction  = 0.02
	idleHorizons                = 3 // Horizons in IdleLimit, to which MeanHorizon is added
)

// NewPolicy returns the share policy for a configured policy.
func NewPolicy(c configuration.Policy) Policy {
	availability := 0.0
	if c.Preference == configuration.PreferAvailability {
		availability = 1
	}
	horizon := time.Duration(c.RefillHorizonSeconds) * time.Second
	allowance := time.Duration(c.RefusalAllowanceMillis) * time.Millisecond
	lifetime := time.Duration(c.ShareLifetimeSeconds) * time.Second
	return PolicyAt(availability, horizon, lifetime, allowance)
}

// PolicyAt returns the policy for an availability between 0, caution, and 1,
// availability. MeanHorizon grows from 0 at caution to lifetime at availability; for
// that time a holder can spend its share without the key-value service. A zero
// horizon or lifetime means 10 s or 90 s.
func PolicyAt(availability float64, horizon, lifetime, allowance time.Duration) Policy {
	if lifetime <= 0 {
		lifetime = defaultLifetime
	}
	if horizon <= 0 {
		horizon = defaultHorizon
	}
	interpolate := func(atCaution, atAvailability float64) float64 {
		return atCaution + availability*(atAvailability-atCaution)
	}
	meanHorizon := time.Duration(availability * float64(lifetime))
	return Policy{
		Availability:     availability,
		Horizon:          horizon,
		MeanHorizon:      meanHorizon,
		StandbyHorizon:   meanHorizon / standbyDivisor,
		ReserveRequests:  int(interpolate(cautionReserveRequests, availabilityReserveRequests)),
		ActiveFraction:   interpolate(0, availabilityActiveFraction),
		FreeFraction:     interpolate(cautionFreeFraction, availabilityFreeFraction),
		StandbyPerDomain: availability > 0,
		RefillLevel:      interpolate(cautionRefillLevel, availabilityRefillLevel),
		IdleLimit:        idleHorizons*horizon + meanHorizon,
		RefusalAllowance: allowance,
	}
}
