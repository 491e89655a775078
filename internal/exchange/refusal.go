package exchange

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"
)

const (
	// refusalTimeout bounds one attempt to connect.
	refusalTimeout = 60 * time.Millisecond
	// refusalDelay is the time between the two attempts.
	refusalDelay = 5 * time.Millisecond
)

// Refuses reports whether connections to an address are refused, which shows that no
// process listens on it. An address that does not respond does not refuse. It tries twice,
// because a process that ends may close its connections before its listener.
func (p *Pool) Refuses(ctx context.Context, address netip.AddrPort) (refuses bool, err error) {
	if refuses, err = p.refusesNow(ctx, address); refuses || err != nil {
		return refuses, err
	}
	select {
	case <-time.After(refusalDelay):
	case <-ctx.Done():
		return false, ctx.Err()
	}
	return p.refusesNow(ctx, address)
}

func (p *Pool) refusesNow(ctx context.Context, address netip.AddrPort) (refuses bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return false, c.Close()
}
