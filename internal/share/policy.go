package share

import (
	"time"

	"example.org/lagoonfork/pkg/configuration"
)

// Policy holds the limits of the decisions on shares.
type Policy struct {
	// Lean is 0 for caution and 1 for availability. Values between them are
	// for measurements.
	Lean float64
	// Horizon is how long a share should last at the drawing rate.
	Horizon time.Duration
	// ReserveRequests is the number of usual requests that a budget in use is
	// kept ready for, whatever its drawing rate.
	ReserveRequests int
	// FreeFraction bounds all shares together to this part of what is left,
	// while they are of equal size.
	FreeFraction float64
	// SpreadDomains tells to keep a reserve of each budget in use in every
	// failure domain, also where no router serves it.
	SpreadDomains bool
	// IdleLimit is how long a share may go unused before it is handed back.
	IdleLimit time.Duration
	// RefusalAllowance is how long a request may wait for tokens.
	RefusalAllowance time.Duration
}

// Bounds of the settings between which Lean chooses.
const (
	defaultHorizon         = 10 * time.Second
	defaultAllowance       = 500 * time.Millisecond
	availabilityHorizons   = 9.0 // horizons that a share lasts, on top of the first
	cautionReserve         = 2.0
	availabilityReserve    = 8.0
	cautionFraction        = 0.5
	availabilityFraction   = 0.9
	cautionIdleHorizons    = 3.0
	availabilityIdleFactor = 27.0
)

// NewPolicy returns the policy on shares that a configuration's policy means.
func NewPolicy(c configuration.Policy) Policy {
	lean := 0.0
	if c.Preference == configuration.PreferAvailability {
		lean = 1
	}
	horizon := time.Duration(c.RefillHorizonSeconds) * time.Second
	allowance := time.Duration(c.RefusalAllowanceMillis) * time.Millisecond
	return Lean(lean, horizon, allowance)
}

// Lean returns the policy for a lean between 0, caution, and 1, availability.
// The horizon is that of caution. Zero durations stand for 10 s and 500 ms.
func Lean(lean float64, horizon, allowance time.Duration) Policy {
	if horizon <= 0 {
		horizon = defaultHorizon
	}
	if allowance <= 0 {
		allowance = defaultAllowance
	}
	between := func(caution, availability float64) float64 {
		return caution + lean*(availability-caution)
	}
	times := func(factor float64) time.Duration {
		return time.Duration(float64(horizon) * factor)
	}
	return Policy{
		Lean:             lean,
		Horizon:          times(1 + lean*availabilityHorizons),
		ReserveRequests:  int(between(cautionReserve, availabilityReserve)),
		FreeFraction:     between(cautionFraction, availabilityFraction),
		SpreadDomains:    lean > 0,
		IdleLimit:        times(cautionIdleHorizons + lean*availabilityIdleFactor),
		RefusalAllowance: allowance,
	}
}
