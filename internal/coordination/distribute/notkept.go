package distribute

import "time"

// StoreFailed takes back the last version that was taken: its machine could not keep it, and holds was as before. It is asked for again after
// a pause.
func (s *Subscriber) StoreFailed(now time.Duration, was Revision) {
	s.holds = was
	s.pause(now, s.o.ReconnectWindow)
}
