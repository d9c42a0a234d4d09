package routing

import "slices"

// maxPreemptions bounds the preemptions in progress in one service. A surge of a high class thus stops only
// a few streams at a time, and uses each freed slot before the next preemption.
const maxPreemptions = 4

// addPreemptible records a dispatched request that may be preempted.
func (s *service) addPreemptible(r *request) {
	list := s.preemptible[r.cfg.Priority]
	if len(list) == cap(list) {
		// Removing ended requests only before the list grows keeps it within twice the number of running ones.
		list = slices.DeleteFunc(list, func(x *request) bool { return x.target == nil })
	}
	s.preemptible[r.cfg.Priority] = append(list, r)
}

// victim returns the request to preempt: of the lowest class below the given priority, the one that started
// last, since it loses the least work.
func (s *service) victim(priority int) *request {
	lowest := priority
	for class := range s.preemptible {
		lowest = max(lowest, class)
	}
	for class := lowest; class > priority; class-- {
		list := s.preemptible[class]
		for len(list) > 0 && (list[len(list)-1].target == nil || list[len(list)-1].preempting) {
			list = list[:len(list)-1]
		}
		if len(list) == 0 {
			delete(s.preemptible, class)
			continue
		}
		s.preemptible[class] = list
		return list[len(list)-1]
	}
	return nil
}

// preempt stops a running request of a lower class in favour of the head of the queue.
func (s *System) preempt(svc *service) {
	if len(svc.preemptible) == 0 || len(svc.available) > 0 || svc.preemptions >= maxPreemptions {
		return
	}
	id, _, ok := svc.queue.Next(false)
	if !ok {
		return
	}
	if svc.preemptions >= svc.queue.Waiting(s.requests[id].cfg.Priority) {
		return
	}
	r := svc.victim(s.requests[id].cfg.Priority)
	if r == nil {
		return
	}
	r.preempting = true
	svc.preemptions++
	s.decisions = append(s.decisions, Preempt{request: r.cfg.Request, beneficiary: id})
}
