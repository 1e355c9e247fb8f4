package leader

import "time"

// Bubbles of testing/synctest begin in the year 2000 and have a clock of their own.
func init() {
	clock = func() time.Time {
		if now := time.Now(); now.Year() <= 2000 {
			return now
		}
		return bootTime()
	}
}
