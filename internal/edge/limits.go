package edge

import (
	"time"

	"example.org/lagoonfork/internal/allowance"
)

// learnLimits records what another router tells about the limits of upstreams. There is
// nothing to reply.
func (r *Router) learnLimits(now time.Time, news []allowance.News) []string {
	for _, n := range news {
		r.roster.LearnLimit(now, n)
	}
	return nil
}

// reminderInterval returns the time between two reminders of the limits of upstreams. It
// grows with the number of routers, so that the calls that each of them receives do not.
func reminderInterval(routers int) time.Duration {
	return max(minReminderInterval, time.Duration(routers)*reminderIntervalPerRouter)
}

// remindOfLimits tells the other routers of the limits that this router is the first to
// hold, so that routers that have started or missed news know them.
func (r *Router) remindOfLimits() error {
	for {
		select {
		case <-time.After(reminderInterval(r.RouterCount())):
			if news := r.roster.Reminders(r.settings.Clock(), r.members.fleet()); len(news) > 0 {
				r.limitNews.Send(news)
			}
		case <-r.tomb.Dying():
			return nil
		}
	}
}
