package player

import (
	"errors"
	"iter"
	"time"
)

// errAbandoned unwinds a job whose process has ended.
var errAbandoned = errors.New("the process has ended")

// job is one request's work in a process: a coroutine, so that the traffic code may wait as it does in a goroutine.
type job struct {
	process *Process
	next    func() (struct{}, bool)
	stop    func()
	yield   func(struct{}) bool
}

// spawn starts a job in the process.
func (process *Process) spawn(work func(job *job)) {
	job := &job{process: process}
	job.next, job.stop = iter.Pull(func(yield func(struct{}) bool) {
		job.yield = yield
		defer func() {
			if reason := recover(); reason != nil && reason != errAbandoned {
				panic(reason)
			}
		}()
		work(job)
	})
	process.jobs[job] = true
	job.resume()
}

func (job *job) resume() {
	fleet := job.process.fleet
	outer := fleet.running
	fleet.running = job
	_, more := job.next()
	fleet.running = outer
	if !more {
		delete(job.process.jobs, job)
	}
}

func (job *job) abandon() {
	delete(job.process.jobs, job)
	job.stop()
}

// block waits until the given function calls wake; only the first call counts.
func (job *job) block(arrange func(wake func())) {
	woken := false
	arrange(func() {
		job.process.enter(func() {
			if !woken && job.process.jobs[job] {
				woken = true
				job.resume()
			}
		})
	})
	if !job.yield(struct{}{}) {
		panic(errAbandoned)
	}
}

func (job *job) sleep(term time.Duration) {
	job.block(func(wake func()) { job.process.fleet.timer.AfterFunc(term, wake) })
}
