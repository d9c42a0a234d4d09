package main

import (
	"fmt"
	"time"
)

const (
	modelWorkers = 10
	plainWorkers = 3
)

// recoverCase: one of ten model workers is replaced as planned, and later all processes of the hosts are killed and start again. The
// ten workers have memory for 110 layers of the model's 80, before and after.
func recoverCase(l *lab) bool {
	l.store.Set("config", configName, configuration())
	var models []*worker
	for i := range modelWorkers {
		models = append(models, l.newWorker(fmt.Sprintf("i-m%02d", i), "redactor", zone(i), true))
	}
	for i := range plainWorkers {
		l.newWorker(fmt.Sprintf("i-p%02d", i), "registro", zone(i), false)
	}
	l.newHosts(3)
	// Traffic starts 10 s after the hosts do.
	time.Sleep(time.Until(l.begun.Add(10 * time.Second)))
	for _, w := range models {
		l.note("%s in zone %s holds %d-%d", w.id, w.zone, w.from, w.to)
	}
	c := l.sendEvery(100 * time.Millisecond)
	time.Sleep(15 * time.Second)
	if old := needed(models); old == nil {
		cannot("no worker alone holds a layer")
	} else if l.trouble {
		models = append(models, l.replace(old))
	}
	// The placing has time to follow.
	time.Sleep(10 * time.Second)
	l.note("final fault: all processes of the hosts are killed")
	fault := time.Now()
	for _, h := range l.hosts {
		h.kill()
	}
	time.Sleep(time.Second)
	for _, h := range l.hosts {
		h.restarted()
		h.start()
	}
	for _, h := range l.hosts {
		h.awaitReady()
	}
	back := time.Now()
	l.note("the hosts are back")
	time.Sleep(time.Until(back.Add(recoverS + 30*time.Second)))
	attempts := c.end()
	for _, w := range models {
		w.mu.Lock()
		l.note("%s in zone %s holds %d-%d, gone %t", w.id, w.zone, w.from, w.to, w.dead)
		w.mu.Unlock()
	}
	var sent, served, sentBefore, servedBefore int
	for _, a := range attempts {
		switch {
		case a.sent.Before(fault):
			sentBefore++
			if a.whole {
				servedBefore++
			}
		case a.sent.After(back.Add(recoverS)):
			sent++
			if a.whole {
				served++
			}
		}
	}
	text := fmt.Sprintf("served before the final fault: %d of %d; of those sent later than %v after the hosts were back: %d of %d", servedBefore, sentBefore, recoverS, served, sent)
	l.note("%s", text)
	fmt.Println(text)
	if sentBefore == 0 || sent == 0 {
		cannot("nothing was sent")
	}
	return 4*served < sent && 4*servedBefore >= sentBefore
}

// replace is a release of one worker: the new one starts first, the old one drains, serves on a little longer than drain_ms and exits.
func (l *lab) replace(old *worker) *worker {
	l.note("TROUBLE: %s in zone %s, which holds %d-%d, is replaced", old.id, old.zone, old.from, old.to)
	next := l.newWorker(old.id+"x", old.service, old.zone, old.model)
	time.Sleep(time.Second)
	l.note("%s drains", old.id)
	old.register("draining")
	time.AfterFunc(drainMs*time.Millisecond+time.Second, func() {
		l.note("%s exits", old.id)
		l.store.Delete("servers", old.id)
		old.crash()
	})
	return next
}

// needed returns a worker that alone holds some layer.
func needed(workers []*worker) *worker {
	for _, w := range workers {
		for layer := w.from; layer < w.to; layer++ {
			alone := true
			for _, o := range workers {
				alone = alone && (o == w || layer < o.from || layer >= o.to)
			}
			if alone {
				return w
			}
		}
	}
	return nil
}
