package main

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/loader"
)

// partField is the field that says which part of the daemon writes.
const partField = "part"

func newLog(settings loader.Settings) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(settings.LogLevel())
	if settings.LogFormat() == loader.LogJSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return log
}

// repeatInterval is the time after which a failure that goes on is logged again.
const repeatInterval = 10 * time.Second

// failureLog logs a failure once while it lasts, so that an outage does not fill the log.
type failureLog struct {
	log   *logrus.Entry
	mutex sync.Mutex
	last  string
	next  time.Time
}

func (failurelog *failureLog) note(err error) {
	failurelog.mutex.Lock()
	defer failurelog.mutex.Unlock()
	now := time.Now()
	if err.Error() == failurelog.last && now.Before(failurelog.next) {
		return
	}
	failurelog.last, failurelog.next = err.Error(), now.Add(repeatInterval)
	failurelog.log.WithError(err).Warn("A step failed and is tried again.")
}

// noteWritten logs a layout that this daemon has written as the coordinator of its group.
func noteWritten(log *logrus.Entry) func(lagoonlanding.Record) {
	return func(record lagoonlanding.Record) {
		layout := record.Current()
		log.WithFields(logrus.Fields{
			"group": record.Group().String(), "version": layout.Version(),
			"members": memberNames(layout), "witnesses": instanceNames(layout.Witnesses()),
		}).Info("Layout written.")
	}
}

func memberNames(layout lagoonlanding.Layout) string {
	var names []string
	for _, member := range layout.Members() {
		name := member.ID().Name()
		if member.State() != lagoonlanding.MemberActive {
			name += " (not active)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func instanceNames(instances []lagoonlanding.Instance) string {
	var names []string
	for _, instance := range instances {
		names = append(names, instance.ID().Name())
	}
	return strings.Join(names, ", ")
}
