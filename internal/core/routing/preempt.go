package routing

import "slices"

// maxPreempting bounds the preemptions under way in one service, so that a surge of one class stops a
// few streams at a time and each freed slot is used before the next is asked for.
const maxPreempting = 4

// rememberPreemptible notes a dispatched request that may be preempted.
func (s *service) rememberPreemptible(r *request) {
	list := s.preemptible[r.cfg.Priority]
	if len(list) == cap(list) {
		// Growing is the time to drop ended requests, which keeps the list within twice the running ones.
		list = slices.DeleteFunc(list, func(x *request) bool { return x.target == nil })
	}
	s.preemptible[r.cfg.Priority] = append(list, r)
}

// victim returns the running request of the lowest class below the given one that started last, since
// it loses the least work.
func (s *service) victim(priority int) *request {
	lowest := priority
	for class := range s.preemptible {
		lowest = max(lowest, class)
	}
	for class := lowest; class > priority; class-- {
		list := s.preemptible[class]
		for len(list) > 0 && (list[len(list)-1].target == nil || list[len(list)-1].stopping) {
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

// preempt asks for running requests of a lower class to be stopped for the head of the queue.
func (s *System) preempt(svc *service) {
	if len(svc.preemptible) == 0 || len(svc.available) > 0 || svc.preempting >= maxPreempting {
		return
	}
	id, _, ok := svc.queue.Next(false)
	if !ok {
		return
	}
	if svc.preempting >= svc.queue.Waiting(s.requests[id].cfg.Priority) {
		return
	}
	r := svc.victim(s.requests[id].cfg.Priority)
	if r == nil {
		return
	}
	r.stopping = true
	svc.preempting++
	s.out = append(s.out, Preempt{request: r.cfg.Request, beneficiary: id})
}
