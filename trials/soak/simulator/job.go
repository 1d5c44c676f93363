package simulator

import (
	"errors"
	"iter"
	"time"
)

// errCancelled is the panic value that unwinds a job whose process has terminated.
var errCancelled = errors.New("process has terminated")

// job is the processing of one request in a process.
//
// It is a coroutine, so that the traffic code can block as it does in a goroutine.
type job struct {
	process *Process
	next    func() (struct{}, bool)
	stop    func()
	yield   func(struct{}) bool
}

// startJob starts a job in the process.
func (process *Process) startJob(work func(job *job)) {
	job := &job{process: process}
	job.next, job.stop = iter.Pull(func(yield func(struct{}) bool) {
		job.yield = yield
		defer func() {
			if reason := recover(); reason != nil && reason != errCancelled {
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
	previous := fleet.runningJob
	fleet.runningJob = job
	_, more := job.next()
	fleet.runningJob = previous
	if !more {
		delete(job.process.jobs, job)
	}
}

func (job *job) cancel() {
	delete(job.process.jobs, job)
	job.stop()
}

// wait suspends the job until wake, which it passes to register, is called; further calls have no effect.
func (job *job) wait(register func(wake func())) {
	woken := false
	register(func() {
		job.process.runWhenThawed(func() {
			if !woken && job.process.jobs[job] {
				woken = true
				job.resume()
			}
		})
	})
	if !job.yield(struct{}{}) {
		panic(errCancelled)
	}
}

func (job *job) sleep(duration time.Duration) {
	job.wait(func(wake func()) { job.process.fleet.timer.AfterFunc(duration, wake) })
}
